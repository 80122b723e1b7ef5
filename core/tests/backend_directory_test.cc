#include "carawayvalve/core/backend_directory.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

BackendEntry Entry(const std::string& id, bool draining = false) {
  BackendEntry entry;
  entry.id = {id};
  entry.service = {"desk"};
  entry.address = {"10.0.0.1", 80};
  entry.draining = draining;
  return entry;
}

}  // namespace

TEST_CASE("BackendDirectory") {
  const Instant start = Instant() + seconds(100);
  BackendDirectory directory(seconds(2));
  directory.NoteList({Entry("a"), Entry("b")}, start);

  SUBCASE("knows what was listed") {
    CHECK(directory.entries().size() == 2);
    CHECK(directory.Find({"a"}) != nullptr);
    CHECK(directory.Find({"c"}) == nullptr);
  }
  SUBCASE("while the store is well, what it removes is gone at once") {
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Find({"a"}) == nullptr);
  }
  SUBCASE("what a list lacks is gone as well") {
    directory.NoteList({Entry("b")}, start + seconds(1));
    CHECK(directory.Find({"a"}) == nullptr);
    CHECK(directory.Find({"b"}) != nullptr);
  }
  SUBCASE("while the store is disturbed, an entry may have lapsed") {
    directory.NoteStoreFailure(start);
    directory.NoteList({Entry("b")}, start + seconds(1));
    CHECK(directory.Find({"a"}) != nullptr);

    SUBCASE("and is kept until its time to come back is over") {
      CHECK(directory.Expire(start + Milliseconds(1999)).empty());
      CHECK(directory.Expire(start + seconds(2)) ==
            std::vector<base::BackendServerId>{{"a"}});
      CHECK(directory.Find({"a"}) == nullptr);
    }
    SUBCASE("and stays if it comes back") {
      directory.NoteEntry(Entry("a"));
      CHECK(directory.Expire(start + seconds(3)).empty());
      CHECK(directory.Find({"a"}) != nullptr);
    }
    SUBCASE("and the time begins anew with each further disturbance") {
      directory.NoteStoreFailure(start + seconds(1));
      CHECK(directory.Expire(start + seconds(2)).empty());
      CHECK_FALSE(directory.Expire(start + seconds(3)).empty());
    }
  }
  SUBCASE("one that drains has left for good, disturbance or not") {
    directory.NoteEntry(Entry("a", true));
    directory.NoteStoreFailure(start);
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Find({"a"}) == nullptr);
  }
}

}  // namespace carawayvalve::core
