#include "carawayvalve/core/retry_sharers.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

namespace carawayvalve::core {

TEST_CASE("RetrySharers") {
  RetrySharers sharers({"self"});

  SUBCASE("a process that has not registered has no part of the slack") {
    sharers.NoteListed({{"a"}, {"b"}});
    CHECK_FALSE(sharers.Parts().has_value());

    SUBCASE("nor has it by a list from before its registration") {
      sharers.NoteRegistered();
      CHECK_FALSE(sharers.Parts().has_value());
    }
  }
  SUBCASE("one that registered and listed the others counts them and itself") {
    sharers.NoteRegistered();
    sharers.NoteListed({{"self"}, {"a"}, {"b"}});
    CHECK(sharers.Parts() == 3);

    SUBCASE("also one that it hears and has not listed") {
      sharers.NoteHeard({"late"});
      CHECK(sharers.Parts() == 4);
    }
    SUBCASE(
        "and those that are listed no more, which may have spent just now") {
      sharers.NoteListed({{"self"}, {"a"}});
      CHECK(sharers.Parts() == 3);
    }
  }
}

// Registrations, lists and words in any order. A word takes effect at once; a
// process speaks to those that it has listed.
TEST_CASE("the parts of the slack never add up to more than the whole") {
  CHECK(rc::check("processes that start together", [] {
    constexpr size_t kProcesses = 6;
    std::vector<RetrySharers> processes;
    std::set<base::HostId> registered;
    for (size_t i = 0; i < kProcesses; ++i) {
      processes.emplace_back(base::HostId{std::to_string(i)});
    }
    for (int step = 0; step < 40; ++step) {
      const auto i = *rc::gen::inRange<size_t>(0, kProcesses);
      const base::HostId self{std::to_string(i)};
      if (*rc::gen::inRange(0, 2) == 0) {
        registered.insert(self);
        processes[i].NoteRegistered();
      } else {
        processes[i].NoteListed(registered);
        for (const base::HostId& other : registered) {
          processes[std::stoul(other.value)].NoteHeard(self);
        }
      }
      double whole = 0;
      for (const RetrySharers& process : processes) {
        if (const auto parts = process.Parts()) {
          whole += 1 / static_cast<double>(*parts);
        }
      }
      RC_ASSERT(whole <= 1.0001);
    }
  }));
}

}  // namespace carawayvalve::core
