#include "carawayvalve/core/prefix_index.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace carawayvalve::core {

using base::BackendServerId;
using base::Instant;
using std::chrono::minutes;

TEST_CASE("PrefixHashes") {
  const std::string piece(kTokensPerPiece * kBytesPerToken, 'a');
  const std::vector<PrefixHash> hashes = PrefixHashes(piece + piece + "rest");
  REQUIRE(hashes.size() == 2);
  CHECK(hashes[0] == base::StableHash(piece));
  CHECK(hashes[1] == base::StableHash(piece + piece));
  CHECK(PrefixHashes("short").empty());
  CHECK(CountTokens("abcde") == 2);

  CHECK(ParsePrefixHash("00000000000000fF") == PrefixHash{255});
  CHECK_FALSE(ParsePrefixHash("ff").has_value());
  CHECK_FALSE(ParsePrefixHash("00000000000000fg").has_value());
  CHECK_FALSE(ParsePrefixHash("-0000000000000ff").has_value());
}

TEST_CASE("PrefixIndex") {
  const BackendServerId one{"b1"};
  const BackendServerId other{"b2"};
  const Instant now;
  PrefixIndex index(
      {.lifetime = minutes(10), .gap_age = minutes(5), .max_entries = 3});
  index.Add(one, 11, now);
  index.Add(one, 12, now);

  SUBCASE("counts the leading pieces that a backend server has cached") {
    index.Add(other, 12, now);
    CHECK(index.CachedTokens({11, 12, 13}, now) ==
          std::map<BackendServerId, int64_t>{{one, 2 * kTokensPerPiece}});
    index.Drop(one, 11);
    CHECK(index.CachedTokens({11, 12, 13}, now).empty());
  }
  SUBCASE("confidence in an entry falls with its age") {
    CHECK(index.CachedTokens({11}, now + minutes(5)).at(one) ==
          kTokensPerPiece / 2);
    CHECK(index.CachedTokens({11}, now + minutes(10)).empty());

    SUBCASE("and is restored when the entry is confirmed") {
      index.Add(one, 11, now + minutes(9));
      CHECK(index.CachedTokens({11}, now + minutes(9)).at(one) ==
            kTokensPerPiece);
    }
  }
  SUBCASE("each gap ages the entries of its backend server") {
    index.Add(other, 11, now);
    index.NoteGap(one);
    CHECK(index.CachedTokens({11}, now).at(one) == kTokensPerPiece / 2);
    CHECK(index.CachedTokens({11}, now).at(other) == kTokensPerPiece);
    index.Add(one, 11, now);
    CHECK(index.CachedTokens({11}, now).at(one) == kTokensPerPiece);
    index.NoteGap(one);
    index.Prune(now);
    CHECK(index.size() == 2);
  }
  SUBCASE("all entries of a backend server that lost its cache are dropped") {
    index.Forget(one);
    CHECK(index.size() == 0);
  }
  SUBCASE("the least recently confirmed entry is evicted") {
    index.Add(one, 11, now);
    index.Add(one, 13, now);
    index.Add(one, 14, now);
    CHECK(index.size() == 3);
    CHECK(index.CachedTokens({12}, now).empty());
    CHECK(index.CachedTokens({11}, now).contains(one));
  }
}

TEST_CASE("PrefixIndex never counts pieces without an event or dropped ones") {
  CHECK(rc::check(
      "tokens are those of the leading run of pieces left by the events",
      [](const std::vector<std::tuple<bool, uint8_t, uint8_t>>& events) {
        PrefixIndex index({});
        std::set<std::pair<BackendServerId, PrefixHash>> held;
        const Instant now;
        for (const auto& [added, name, hash] : events) {
          const BackendServerId backend_server{std::to_string(name % 3)};
          const PrefixHash piece = hash % 4;
          if (added) {
            index.Add(backend_server, piece, now);
            held.emplace(backend_server, piece);
          } else {
            index.Drop(backend_server, piece);
            held.erase({backend_server, piece});
          }
        }
        RC_ASSERT(index.size() == held.size());
        const auto tokens = index.CachedTokens({0, 1, 2, 3}, now);
        for (const char* name : {"0", "1", "2"}) {
          int64_t run = 0;
          while (held.contains({{name}, static_cast<PrefixHash>(run)})) {
            ++run;
          }
          const auto found = tokens.find({name});
          RC_ASSERT((found == tokens.end() ? 0 : found->second) ==
                    run * kTokensPerPiece);
        }
      }));
}

}  // namespace carawayvalve::core
