#include "carawayvalve/core/rate_limit_members.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ListedProcesses AllStay(const std::set<base::HostId>& hosts) {
  return {hosts, hosts};
}

}  // namespace

TEST_CASE("RateLimitMembers") {
  const Instant start = Instant() + seconds(100);
  RateLimitMembers members({.list_time = seconds(10), .keep_time = seconds(60)},
                           {"self"});
  CHECK_FALSE(members.Divisor(start).has_value());

  SUBCASE("one that isn't listed earns nothing, and asks nobody") {
    members.NoteListed(AllStay({{"a"}}), start);
    members.NoteCountedBy({"a"});
    CHECK_FALSE(members.Divisor(start + seconds(60)).has_value());
    CHECK(members.Uncounted().empty());
  }
  SUBCASE("the only one earns at once") {
    members.NoteListed(AllStay({{"self"}}), start);
    CHECK(members.Divisor(start) == 1);
  }
  SUBCASE("one of three waits for the others") {
    members.NoteListed({{{"self"}, {"a"}, {"b"}}, {{"self"}, {"a"}}}, start);
    CHECK(members.Uncounted() == std::vector<base::HostId>{{"a"}});
    members.NoteCountedBy({"a"});
    CHECK(members.Uncounted().empty());
    CHECK_FALSE(members.Divisor(start + milliseconds(9999)).has_value());

    SUBCASE("until they have had time to read the list") {
      CHECK(members.Divisor(start + seconds(10)) == 3);
    }
    SUBCASE("until they all have said that they count it") {
      members.NoteCountedBy({"b"});
      CHECK(members.Divisor(start) == 3);

      SUBCASE("and waits for one that calls without being listed") {
        members.NoteSeen({"c"}, start + seconds(1));
        CHECK_FALSE(members.Divisor(start + seconds(2)).has_value());
        CHECK(members.Divisor(start + seconds(10)) == 4);
      }
      SUBCASE("one that the list drops counts for some time") {
        members.NoteListed(AllStay({{"self"}, {"a"}}), start + seconds(59));
        CHECK(members.Divisor(start + seconds(59)) == 3);
        members.NoteListed(AllStay({{"self"}, {"a"}}), start + seconds(60));
        CHECK(members.Divisor(start + seconds(60)) == 2);
      }
      SUBCASE("without a list, nobody is dropped") {
        CHECK(members.Divisor(start + seconds(600)) == 3);
      }
      SUBCASE("one that leaves earns nothing, and begins anew") {
        members.NoteListed({{{"self"}, {"a"}, {"b"}}, {{"a"}, {"b"}}},
                           start + seconds(1));
        CHECK_FALSE(members.Divisor(start + seconds(1)).has_value());
        members.NoteListed(AllStay({{"self"}, {"a"}, {"b"}}),
                           start + seconds(2));
        CHECK_FALSE(members.Divisor(start + seconds(2)).has_value());
      }
    }
  }
}

// Guards against processes that together earn more than the whole rate while
// they start, end, are cut off from each other and miss lists.
TEST_CASE("processes that read a list within its time earn the rate at most") {
  const RateLimitMembers::Settings settings;
  constexpr size_t kProcesses = 5;
  constexpr int kSteps = 400;
  constexpr milliseconds kStep(500);
  // A process reads each tenth list at least, so each within 5 s.
  constexpr int kMaxMissed = 9;
  CHECK(rc::check([&] {
    struct Process {
      std::optional<RateLimitMembers> members;
      int missed = 0;
    };
    std::array<Process, kProcesses> processes;
    std::set<base::HostId> listed;
    Instant now = Instant() + seconds(100);
    const auto name = [](size_t index) {
      return base::HostId{"host-" + std::to_string(index)};
    };
    for (int step = 0; step < kSteps; ++step, now += kStep) {
      const size_t chosen = *rc::gen::inRange<size_t>(0, kProcesses);
      const int event = *rc::gen::inRange(0, 20);
      if (event < 4) {
        listed.insert(name(chosen));
        processes[chosen].members.emplace(settings, name(chosen));
        processes[chosen].missed = kMaxMissed;
      } else if (event == 4) {
        // A kill. The platform may drop the host, and lists it again later.
        processes[chosen].members.reset();
        if (*rc::gen::arbitrary<bool>()) {
          listed.erase(name(chosen));
        }
      }
      for (Process& process : processes) {
        if (process.members.has_value() &&
            (++process.missed > kMaxMissed || *rc::gen::inRange(0, 3) == 0)) {
          process.missed = 0;
          process.members->NoteListed(AllStay(listed), now);
        }
      }
      const size_t caller = *rc::gen::inRange<size_t>(0, kProcesses);
      if (caller != chosen && processes[caller].members.has_value() &&
          processes[chosen].members.has_value()) {
        processes[chosen].members->NoteSeen(name(caller), now);
        processes[caller].members->NoteCountedBy(name(chosen));
      }
      double sum = 0;
      for (const Process& process : processes) {
        if (process.members.has_value()) {
          const auto divisor = process.members->Divisor(now);
          sum += divisor.has_value() ? 1.0 / static_cast<double>(*divisor) : 0;
        }
      }
      RC_ASSERT(sum <= 1.0 + 1e-9);
    }
  }));
}

}  // namespace carawayvalve::core
