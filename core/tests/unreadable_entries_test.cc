#include "carawayvalve/core/unreadable_entries.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

TEST_CASE("an entry that can't be read is reported") {
  UnreadableEntries entries(2);
  CHECK(entries.Note("servers", "a"));

  SUBCASE("once") {
    CHECK_FALSE(entries.Note("servers", "a"));
    CHECK(entries.Note("servers", "b"));
    CHECK_FALSE(entries.Note("servers", "a"));
  }
  SUBCASE("apart from one of the same name and another kind") {
    CHECK(entries.Note("hosts", "a"));
    entries.Forget("hosts", "a");
    CHECK_FALSE(entries.Note("servers", "a"));
  }
  SUBCASE("again after it could be read, or was gone") {
    entries.Forget("servers", "a");
    CHECK(entries.Note("servers", "a"));
    CHECK_FALSE(entries.Note("servers", "a"));
  }
  SUBCASE("again when too many others were reported since") {
    CHECK(entries.Note("servers", "b"));
    CHECK(entries.Note("servers", "c"));
    CHECK_FALSE(entries.Note("servers", "b"));
    CHECK_FALSE(entries.Note("servers", "c"));
    CHECK(entries.Note("servers", "a"));
  }
}

}  // namespace carawayvalve::core
