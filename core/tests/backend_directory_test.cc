#include "carawayvalve/core/backend_directory.h"

#include <doctest/doctest.h>

#include <ctime>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr StoreOutage::Settings kOutages{.grace_period = seconds(2),
                                         .min_outage = seconds(1)};

// Records that the store cut off a watch.
void NoteCutOff(BackendDirectory& directory, Instant now) {
  directory.store_outage().NoteUnanswered({now, true}, now, now);
}

// Records that the store was away until `end`, for longer than an entry needs
// to expire.
void NoteOutage(BackendDirectory& directory, Instant end) {
  NoteCutOff(directory, end - seconds(4));
  directory.store_outage().NoteAnswer(end);
}

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
  BackendDirectory directory(kOutages);
  directory.NoteList({Entry("a"), Entry("b")}, start);

  SUBCASE("contains the listed entries") {
    CHECK(directory.entries().size() == 2);
    CHECK(directory.Find({"a"}) != nullptr);
    CHECK(directory.Find({"c"}) == nullptr);
  }
  SUBCASE("without a store failure, a removed entry is dropped immediately") {
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Find({"a"}) == nullptr);
  }
  SUBCASE(
      "without a store failure, an entry missing from a listing is dropped") {
    directory.NoteList({Entry("b")}, start + seconds(1));
    CHECK(directory.Find({"a"}) == nullptr);
    CHECK(directory.Find({"b"}) != nullptr);
  }
  // Guards against requests to a server that left without a word, as an older
  // copy of the store shows it as it was.
  SUBCASE("a removed run that an older copy shows") {
    directory.NoteRemoved({"a"}, start);
    directory.NoteOlderStore(start + seconds(3));
    directory.NoteListedEntry(Entry("a"));
    directory.NoteListedEntry(Entry("b"));
    CHECK(directory.Find({"a"})->draining);
    CHECK_FALSE(directory.Find({"b"})->draining);

    SUBCASE("gets requests once it is registered again") {
      directory.NoteEntry(Entry("a"));
      CHECK_FALSE(directory.Find({"a"})->draining);
    }
    SUBCASE("gets requests once its entry has stayed") {
      directory.Expire(start + seconds(7));
      CHECK(directory.Find({"a"})->draining);
      directory.Expire(start + seconds(8));
      CHECK_FALSE(directory.Find({"a"})->draining);
    }
    SUBCASE("gets none if it has said that it leaves") {
      directory.NoteLeaving({"a"}, 0, start + seconds(4));
      directory.Expire(start + seconds(8));
      CHECK(directory.Find({"a"})->draining);
    }
  }
  SUBCASE("a later run of a removed server gets requests at once") {
    directory.NoteRemoved({"a"}, start);
    directory.NoteOlderStore(start + seconds(3));
    BackendEntry later = Entry("a");
    later.started_ms = 5;
    directory.NoteListedEntry(later);
    CHECK_FALSE(directory.Find({"a"})->draining);
  }
  SUBCASE("a removed run that is listed again without a drill") {
    directory.NoteRemoved({"a"}, start);
    directory.NoteListedEntry(Entry("a"));
    CHECK_FALSE(directory.Find({"a"})->draining);
  }
  SUBCASE("the entries that only an abandoned list has shown are dropped") {
    directory.store_outage().NoteReturn(start);
    directory.NoteOlderStore(start);
    directory.NoteListedEntry(Entry("a"));
    directory.NoteListedEntry(Entry("c"));
    directory.NoteListedEntry(Entry("c"));
    directory.NoteListedEntry(Entry("d"));
    directory.NoteEntry(Entry("d"));
    CHECK(directory.DropNewlyListed() ==
          std::vector<base::BackendServerId>{{"c"}});
    CHECK(directory.Find({"a"}) != nullptr);
    CHECK(directory.Find({"b"}) != nullptr);
    CHECK(directory.Find({"c"}) == nullptr);
    CHECK(directory.Find({"d"}) != nullptr);

    SUBCASE("and get requests once another list shows them") {
      directory.NoteListedEntry(Entry("c"));
      CHECK_FALSE(directory.Find({"c"})->draining);
    }
    SUBCASE("but not those of a complete one") {
      directory.NoteList({Entry("a"), Entry("c")}, start);
      CHECK(directory.DropNewlyListed().empty());
      CHECK(directory.Find({"c"}) != nullptr);
    }
  }
  SUBCASE("after an outage of the store, a missing entry is kept") {
    NoteOutage(directory, start);
    directory.NoteList({Entry("b")}, start + seconds(1));
    CHECK(directory.Find({"a"}) != nullptr);

    SUBCASE("until the grace period is over") {
      CHECK(directory.Expire(start + Milliseconds(1999)).empty());
      CHECK(directory.Expire(start + seconds(2)) ==
            std::vector<base::BackendServerId>{{"a"}});
      CHECK(directory.Find({"a"}) == nullptr);
    }
    SUBCASE("permanently if it is registered again") {
      directory.NoteEntry(Entry("a"));
      CHECK(directory.Expire(start + seconds(3)).empty());
      CHECK(directory.Find({"a"}) != nullptr);
    }
    SUBCASE("for a grace period that each further outage restarts") {
      NoteCutOff(directory, start + seconds(1));
      directory.store_outage().NoteAnswer(start + seconds(3));
      CHECK(directory.Expire(start + Milliseconds(4999)).empty());
      CHECK_FALSE(directory.Expire(start + seconds(5)).empty());
    }
    SUBCASE("for a grace period that a call which is cut off doesn't restart") {
      NoteCutOff(directory, start + Milliseconds(1900));
      directory.store_outage().NoteAnswer(start + Milliseconds(2000));
      CHECK_FALSE(directory.Expire(start + Milliseconds(2000)).empty());
    }
  }
  // Guards against requests to a server that has left, as the store cuts off
  // watches (issue 67).
  SUBCASE("while the store has left one call unanswered") {
    NoteCutOff(directory, start);
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Expire(start + Milliseconds(100)).empty());

    SUBCASE("a missing entry is dropped once it answers the next one") {
      directory.store_outage().NoteAnswer(start + Milliseconds(100));
      CHECK(directory.Expire(start + Milliseconds(100)) ==
            std::vector<base::BackendServerId>{{"a"}});
    }
    SUBCASE("a missing entry is kept if it was away") {
      NoteCutOff(directory, start + Milliseconds(900));
      directory.store_outage().NoteAnswer(start + Milliseconds(1000));
      CHECK(directory.Expire(start + Milliseconds(2999)).empty());
      CHECK_FALSE(directory.Expire(start + Milliseconds(3000)).empty());
    }
  }
  SUBCASE("after a call that was cut off, a removed entry is dropped at once") {
    NoteCutOff(directory, start - Milliseconds(300));
    directory.store_outage().NoteAnswer(start - Milliseconds(200));
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Find({"a"}) == nullptr);
  }
  SUBCASE("a removed draining entry is dropped even after an outage") {
    directory.NoteEntry(Entry("a", true));
    NoteOutage(directory, start);
    directory.NoteRemoved({"a"}, start);
    CHECK(directory.Find({"a"}) == nullptr);
  }
}

// Guards against a gateway that stands still as hundreds of thousands of
// entries lapse together, after a list without end.
TEST_CASE("BackendDirectory removes very many entries within a second") {
  constexpr int kEntries = 100000;
  const auto id = [](int number) { return "n-" + std::to_string(number); };
  const Instant start = Instant() + seconds(100);
  BackendDirectory directory(kOutages);
  std::vector<BackendEntry> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(Entry(id(i)));
  }
  directory.NoteList(entries, start);

  SUBCASE("that lapse") {
    NoteOutage(directory, start);
    directory.NoteList({Entry("a")}, start);
    const std::clock_t before = std::clock();
    CHECK(directory.Expire(start + seconds(2)).size() == kEntries);
    CHECK(std::clock() - before < CLOCKS_PER_SEC);
    CHECK(directory.entries().size() == 1);
  }
  SUBCASE("that have said that they leave") {
    const std::clock_t before = std::clock();
    for (int i = 0; i < kEntries; ++i) {
      directory.NoteLeaving({id(i)}, 0, start + Milliseconds(i));
    }
    directory.NoteList({Entry("a")}, start + seconds(200));
    CHECK(std::clock() - before < CLOCKS_PER_SEC);
    CHECK(directory.LeavingSince(start).size() == 8192);
    CHECK(directory.LeavingSince(start).front().id.value == id(kEntries - 1));
  }
}

TEST_CASE("a backend server says that it leaves while its entry says up") {
  const Instant now = Instant() + seconds(100);
  BackendDirectory directory(kOutages);
  BackendEntry entry = Entry("a");
  entry.started_ms = 1000;
  directory.NoteEntry(entry);
  CHECK(directory.NoteLeaving({"a"}, 1000, now));
  CHECK(directory.Find({"a"})->draining);

  SUBCASE("hearing it again is no news") {
    CHECK_FALSE(directory.NoteLeaving({"a"}, 1000, now));
  }
  SUBCASE("its entry doesn't take that back") {
    directory.NoteEntry(entry);
    CHECK(directory.Find({"a"})->draining);
    directory.NoteList({entry}, now);
    CHECK(directory.Find({"a"})->draining);
  }
  SUBCASE("nor does an entry of an older run, or one that comes back") {
    entry.started_ms = 900;
    directory.NoteEntry(entry);
    CHECK(directory.Find({"a"})->draining);
    directory.NoteRemoved({"a"}, now);
    directory.NoteEntry(entry);
    CHECK(directory.Find({"a"})->draining);
  }
  SUBCASE("a new run takes requests again") {
    entry.started_ms = 1001;
    directory.NoteEntry(entry);
    CHECK_FALSE(directory.Find({"a"})->draining);

    SUBCASE("also when a late word names the run before") {
      CHECK_FALSE(directory.NoteLeaving({"a"}, 1000, now));
      CHECK_FALSE(directory.Find({"a"})->draining);
    }
  }
  SUBCASE("peers are told for a while, the newest first") {
    directory.NoteLeaving({"b"}, 7, now + seconds(1));
    const auto recent = directory.LeavingSince(now);
    REQUIRE(recent.size() == 2);
    CHECK(recent[0] == LeavingBackend{{"b"}, 7, now + seconds(1)});
    CHECK(directory.LeavingSince(now + seconds(1)).size() == 1);
  }
  SUBCASE("it is known before the entry is") {
    directory.NoteLeaving({"c"}, 5, now);
    BackendEntry unknown = Entry("c");
    unknown.started_ms = 5;
    directory.NoteEntry(unknown);
    CHECK(directory.Find({"c"})->draining);
  }
}

}  // namespace carawayvalve::core
