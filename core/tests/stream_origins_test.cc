#include "carawayvalve/core/stream_origins.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "carawayvalve/core/backend_directory.h"

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

TEST_CASE("StreamOrigins") {
  const Instant start = Instant() + seconds(100);
  StreamOrigins origins;
  origins.Note({{"a"}, "v1", {}}, start);
  CHECK(origins.Find({"a"}) == "v1");
  CHECK_FALSE(origins.Find({"b"}).has_value());

  SUBCASE("the first version stays") {
    origins.Note({{"a"}, "v2", {}}, start + seconds(1));
    CHECK(origins.Find({"a"}) == "v1");
  }
  SUBCASE("old ones are forgotten, unless they went on") {
    origins.Note({{"b"}, "v1", {}}, start);
    origins.Note({{"a"}, "v1", {}}, start + seconds(50));
    origins.Prune(start + seconds(70));
    CHECK(origins.Find({"a"}) == "v1");
    CHECK_FALSE(origins.Find({"b"}).has_value());
  }
  SUBCASE("recent ones are returned, the newest first") {
    origins.Note({{"b"}, "v2", seconds(3)}, start + seconds(5));
    origins.Note({{"c"}, "v3", {}}, start + seconds(5));
    const auto recent = origins.Recent(seconds(4), 10, start + seconds(5));
    REQUIRE(recent.size() == 2);
    CHECK(recent[0] == StreamOrigin{{"c"}, "v3", {}});
    CHECK(recent[1] == StreamOrigin{{"b"}, "v2", seconds(3)});
    CHECK(origins.Recent(seconds(4), 1, start + seconds(5)).size() == 1);
  }
}

TEST_CASE("streams are found by their content") {
  const Instant start = Instant() + seconds(100);
  StreamOrigins origins;
  CHECK(origins.Note({{"a"}, "v1", {}, "c"}, start));
  CHECK_FALSE(origins.Note({{"a"}, "v1", {}, "c"}, start + seconds(1)));
  CHECK(origins.VersionsOf("c") == std::set<std::string>{"v1"});
  CHECK(origins.VersionsOf("d").empty());
  origins.Note({{"b"}, "v2", {}, "c"}, start + seconds(2));
  CHECK(origins.VersionsOf("c") == std::set<std::string>{"v1", "v2"});
  CHECK(origins.WithContent("c", start + seconds(2)).size() == 2);

  SUBCASE("until they are forgotten") {
    origins.Prune(start + seconds(62));
    CHECK(origins.VersionsOf("c") == std::set<std::string>{"v2"});
    origins.Prune(start + seconds(63));
    CHECK(origins.VersionsOf("c").empty());
  }
}

TEST_CASE("the digest of a stream's content") {
  const Prompt prompt{{"m"}, {{"1", 10}, {"2", 20}}, 30, 5};
  const std::string digest = StreamContentDigest({"a"}, "/x", "body", prompt);
  CHECK(digest.size() == 16);
  CHECK(digest == StreamContentDigest({"a"}, "/x", "body", prompt));
  CHECK(digest != StreamContentDigest({"b"}, "/x", "body", prompt));
  CHECK(digest != StreamContentDigest({"a"}, "/xb", "ody", prompt));
  CHECK(digest != StreamContentDigest({"a"}, "/x", "body", std::nullopt));
  CHECK(digest != StreamContentDigest({"a"}, "/x", "body",
                                      Prompt{{"m"}, {{"12", 30}}, 30, 5}));
}

TEST_CASE("processes agree on those that keep the origin of a stream") {
  const std::vector<base::HostId> live = {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
  const auto keepers = OriginKeepers({"stream"}, live, 3);
  CHECK(keepers.size() == 3);
  CHECK(OriginKeepers({"stream"}, {{"e"}, {"d"}, {"c"}, {"b"}, {"a"}}, 3) ==
        keepers);

  SUBCASE("two of three stay when one is gone") {
    std::vector<base::HostId> rest = live;
    std::erase(rest, keepers.front());
    const auto after = OriginKeepers({"stream"}, rest, 3);
    CHECK(std::count_if(after.begin(), after.end(), [&](const auto& host) {
            return std::find(keepers.begin(), keepers.end(), host) !=
                   keepers.end();
          }) == 2);
  }
}

TEST_CASE("the only software version of a service") {
  BackendDirectory directory({.grace_period = seconds(2)});
  const auto add = [&](const std::string& id, const std::string& version) {
    BackendEntry entry;
    entry.id = {id};
    entry.service = {"models"};
    entry.software_version = version;
    directory.NoteEntry(entry);
  };
  const Instant start = Instant() + seconds(100);
  const auto only = [&](base::Duration time, Instant now) {
    return directory.OnlyVersion({"models"}, time, now);
  };
  add("a", "v1");
  directory.Expire(start);
  CHECK(only(seconds(0), start) == "v1");
  CHECK_FALSE(only(seconds(10), start + seconds(9)).has_value());
  CHECK(only(seconds(10), start + seconds(10)) == "v1");

  SUBCASE("isn't one of two") {
    add("b", "v2");
    CHECK_FALSE(only(seconds(0), start + seconds(10)).has_value());

    SUBCASE("nor the remaining one, until the other has been gone for long") {
      directory.Expire(start + seconds(20));
      directory.NoteRemoved({"a"}, start + seconds(21));
      directory.Expire(start + seconds(21));
      CHECK(only(seconds(0), start + seconds(21)) == "v2");
      CHECK_FALSE(only(seconds(10), start + seconds(21)).has_value());
      CHECK(only(seconds(10), start + seconds(31)) == "v2");
    }
  }
}

}  // namespace carawayvalve::core
