#include "carawayvalve/core/change_log.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <map>

namespace carawayvalve::core {

TEST_CASE("ChangeLog") {
  ChangeLog log(2);
  CHECK(!log.Since({1, 0}).has_value());
  log.Append({{1, 4}, {{"early", 4, false, "{}"}}});
  CHECK(!log.Since({1, 0}).has_value());

  SUBCASE("begins at a list of all objects") {
    log.Restart({1, 10});
    CHECK(log.Since({1, 10}) == ObjectChangeRange{{1, 10}, {}});
    CHECK(!log.Since({1, 9}).has_value());

    SUBCASE("and returns the changes that followed, in order") {
      const ObjectChangeRecord first{"one", 12, false, "{}"};
      const ObjectChangeRecord second{"two", 13, true, "{}"};
      log.Append({{1, 15}, {first, second}});
      CHECK(log.Since({1, 10}) == ObjectChangeRange{{1, 15}, {first, second}});
      CHECK(log.Since({1, 15}) == ObjectChangeRange{{1, 15}, {}});

      SUBCASE("but nothing to one that is further on") {
        CHECK(!log.Since({1, 16}).has_value());
      }
      SUBCASE("nor to one of another era of the store") {
        CHECK(!log.Since({0, 12}).has_value());
        CHECK(!log.Since({2, 12}).has_value());
      }
      SUBCASE("nor to one that lacks changes which it dropped") {
        log.Append({{1, 16}, {{"three", 16, false, "{}"}}});
        CHECK(!log.Since({1, 14}).has_value());
        CHECK(log.Since({1, 15})->changes.size() == 1);
      }
      SUBCASE("a removal whose revision is an earlier one isn't left out") {
        log.Append({{1, 18}, {{"one", 12, true, "{}"}}});
        CHECK(log.Since({1, 15})->changes.size() == 1);
      }
      SUBCASE("and begins anew at the next list") {
        log.Restart({1, 20});
        CHECK(!log.Since({1, 15}).has_value());
        CHECK(log.Since({1, 20}) == ObjectChangeRange{{1, 20}, {}});
      }
    }
  }
}

// An object has up to 1 MB: hundreds of them are more than a process has.
TEST_CASE("ChangeLog holds no more bytes than allowed") {
  constexpr size_t kMaxChanges = 256;
  constexpr size_t kMaxBytes = 1000;
  ChangeLog log(kMaxChanges, kMaxBytes);
  log.Restart({1, 10});
  const std::string large(400, 'x');
  log.Append({{1, 11}, {{"one", 11, false, large}}});
  log.Append({{1, 12}, {{"two", 12, false, large}}});
  CHECK(log.Since({1, 10})->changes.size() == 2);

  SUBCASE("and drops the oldest ones") {
    log.Append({{1, 13}, {{"three", 13, false, large}}});
    CHECK(!log.Since({1, 10}).has_value());
    CHECK(log.Since({1, 11})->changes.size() == 2);
  }
  SUBCASE("long names count too") {
    log.Append({{1, 13}, {{large, 13, true, ""}}});
    CHECK(!log.Since({1, 10}).has_value());
  }
  SUBCASE("one change that is larger by itself leaves none") {
    log.Append({{1, 13}, {{"three", 13, false, std::string(2000, 'x')}}});
    CHECK(!log.Since({1, 12}).has_value());
    CHECK(log.Since({1, 13}) == ObjectChangeRange{{1, 13}, {}});
  }
  SUBCASE("a list of all objects makes room again") {
    log.Restart({1, 20});
    log.Append({{1, 21}, {{"one", 21, false, large}}});
    log.Append({{1, 22}, {{"two", 22, false, large}}});
    CHECK(log.Since({1, 20})->changes.size() == 2);
  }
}

// A process that follows another one's log by any steps has the same objects,
// or is told that it can't.
TEST_CASE("ChangeLog gives followers every change") {
  CHECK(rc::check([] {
    ChangeLog log(*rc::gen::inRange<size_t>(1, 8));
    log.Restart({1, 1});
    std::map<std::string, int64_t> source;
    std::map<std::string, int64_t> follower;
    int64_t revision = 1;
    int64_t followed = 1;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (const int step : steps) {
      if (step < 5) {
        const std::string name(1, static_cast<char>('a' + step % 3));
        const int64_t changed = ++revision;
        // A change of another kind of objects follows.
        revision += step % 2;
        log.Append({{1, revision}, {{name, changed, step == 4, "{}"}}});
        source[name] = step == 4 ? 0 : changed;
        continue;
      }
      const auto range = log.Since({1, followed});
      if (!range.has_value()) {
        follower = source;
        followed = revision;
        continue;
      }
      for (const ObjectChangeRecord& change : range->changes) {
        follower[change.name] = change.removed ? 0 : change.revision;
      }
      followed = range->revision.revision;
      RC_ASSERT(follower == source);
    }
  }));
}

}  // namespace carawayvalve::core
