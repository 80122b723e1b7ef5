#include "carawayvalve/core/crash_state_schedule.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

struct Writer {
  std::optional<CrashStateCall> Step(base::Duration after) {
    this->now += after;
    return this->schedule.Step(this->tracker,
                               {this->is_writer, this->store_era}, this->now);
  }
  // Returns the state that is to be stored now; nothing if none is.
  std::optional<CrashState> Stores(base::Duration after) {
    const auto call = this->Step(after);
    const auto* store =
        call.has_value() ? std::get_if<StoreCrashState>(&*call) : nullptr;
    return store == nullptr ? std::nullopt : std::optional(store->state);
  }
  void Crash(const std::string& digest, const std::string& crash) {
    this->tracker.NoteCrash({digest, {}}, crash, this->now);
  }

  CrashStateSchedule schedule{CrashStateSchedule::Settings{}};
  PoisonRequestTracker tracker{{}};
  bool is_writer = true;
  int64_t store_era = 0;
  Instant now = Instant() + seconds(100);
};

}  // namespace

TEST_CASE("CrashStateSchedule") {
  Writer writer;
  REQUIRE(writer.Step(seconds(0)) == CrashStateCall(ReadCrashState{}));
  CHECK(writer.Step(seconds(1)) == std::nullopt);

  SUBCASE("reads again a while after a failure") {
    writer.schedule.NoteFailed(writer.now);
    CHECK(writer.Step(Milliseconds(499)) == std::nullopt);
    CHECK(writer.Step(Milliseconds(1)) == CrashStateCall(ReadCrashState{}));
  }
  SUBCASE("makes no call after that while nothing crashes") {
    writer.schedule.NoteRead({}, std::nullopt);
    for (int i = 0; i < 100; ++i) {
      CHECK(writer.Step(seconds(1)) == std::nullopt);
    }
  }
  SUBCASE("once a content has crashed a backend server") {
    writer.schedule.NoteRead({}, std::nullopt);
    writer.Step(seconds(1));
    writer.Crash("d", "crash 1");
    CHECK(writer.Step(seconds(0)) == std::nullopt);

    SUBCASE("stores that soon") {
      const auto stored = writer.Stores(Milliseconds(200));
      REQUIRE(stored.has_value());
      CHECK(stored->crashes ==
            std::vector<CrashRecord>{{"d", "crash 1", Milliseconds(200), {}}});

      SUBCASE("and nothing more without news") {
        writer.schedule.NoteStored(7, writer.now);
        CHECK(writer.Step(seconds(9)) == std::nullopt);
      }
      SUBCASE("and the next crash a second later, over the same revision") {
        writer.schedule.NoteStored(7, writer.now);
        writer.Crash("d", "crash 2");
        writer.Step(seconds(0));
        CHECK(writer.Step(Milliseconds(999)) == std::nullopt);
        const auto call = writer.Step(Milliseconds(1));
        REQUIRE(call.has_value());
        CHECK(std::get<StoreCrashState>(*call).revision == 7);
        CHECK(std::get<StoreCrashState>(*call).state.crashes.size() == 2);
      }
      SUBCASE("and again if it isn't known whether it was") {
        writer.schedule.NoteFailed(writer.now);
        CHECK(writer.Step(seconds(1)) == CrashStateCall(ReadCrashState{}));
        writer.schedule.NoteRead({}, std::nullopt);
        CHECK(writer.Stores(Milliseconds(1)) != std::nullopt);
      }
      SUBCASE("but not over what another process has stored") {
        writer.schedule.NoteConflict();
        CHECK(writer.Step(Milliseconds(1)) == CrashStateCall(ReadCrashState{}));
        writer.schedule.NoteRead({{{"d", "crash 1", seconds(0), {}}}, {}, {}},
                                 8);
        CHECK(writer.Step(Milliseconds(1)) == std::nullopt);
        CHECK(writer.Step(seconds(1)) == std::nullopt);
      }
      SUBCASE("and drops it later if the content is answered") {
        writer.schedule.NoteStored(7, writer.now);
        writer.tracker.NoteAnswered("d", writer.now);
        writer.Step(seconds(0));
        CHECK(writer.Stores(Milliseconds(4999)) == std::nullopt);
        CHECK(writer.Stores(Milliseconds(1)) == CrashState{});
      }
    }
    SUBCASE("stores nothing if the content is answered meanwhile") {
      writer.tracker.NoteAnswered("d", writer.now + Milliseconds(100));
      for (int i = 0; i < 10; ++i) {
        CHECK(writer.Step(Milliseconds(200)) == std::nullopt);
      }
    }
    SUBCASE("stores nothing while another process is the writer") {
      writer.is_writer = false;
      CHECK(writer.Step(seconds(1)) == std::nullopt);

      SUBCASE("but once that is gone") {
        writer.is_writer = true;
        writer.Step(seconds(1));
        CHECK(writer.Stores(Milliseconds(200)) != std::nullopt);
      }
    }
    SUBCASE("reads first what an older copy of the store holds") {
      writer.store_era = 1;
      REQUIRE(writer.Stores(Milliseconds(200)).has_value());
      writer.schedule.NoteStored(7, writer.now);
      writer.store_era = 2;
      CHECK(writer.Step(seconds(1)) == CrashStateCall(ReadCrashState{}));
      writer.schedule.NoteRead({}, std::nullopt);
      writer.Step(Milliseconds(1));
      CHECK(writer.Stores(seconds(1)) != std::nullopt);
    }
  }
  SUBCASE("leaves out the contents with fewer crashes if all are too large") {
    writer.schedule.NoteRead({}, std::nullopt);
    writer.Crash("suspect", "crash 1");
    writer.Crash("suspect", "crash 2");
    for (int i = 0; i < 2000; ++i) {
      writer.now += Milliseconds(1);
      writer.Crash("other " + std::to_string(i), "crash 3");
    }
    writer.Step(seconds(0));
    const auto stored = writer.Stores(Milliseconds(200));
    REQUIRE(stored.has_value());
    CHECK(stored->crashes.size() > 100);
    CHECK(stored->crashes.size() < 1000);
    CHECK(stored->crashes[0].content_digest == "suspect");
    CHECK(stored->crashes[1].content_digest == "suspect");
    CHECK(stored->crashes[2].content_digest == "other 1999");
  }
}

}  // namespace carawayvalve::core
