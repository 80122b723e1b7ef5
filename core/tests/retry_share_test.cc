#include "carawayvalve/core/retry_share.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("RetryShare") {
  const Instant start = Instant() + seconds(100);
  RetryShare share({.ratio = 0.2, .slack = 50, .window = seconds(10)});

  SUBCASE("a quiet process has its part of the slack") {
    int64_t spent = 0;
    while (share.TrySpend(4, start)) {
      ++spent;
    }
    CHECK(spent == 10);

    SUBCASE("and has it again when the window has passed") {
      CHECK_FALSE(share.HasLeft(4, start + Milliseconds(9999)));
      CHECK(share.HasLeft(4, start + seconds(10)));
    }
  }
  SUBCASE("more processes have smaller parts") {
    int64_t spent = 0;
    while (share.TrySpend(25, start)) {
      ++spent;
    }
    CHECK(spent == 1);
  }
}

TEST_CASE("all shares together keep to the bound in any span of time") {
  CHECK(rc::check("cut off from one another or not", [] {
    const RetryShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr int kProcesses = 4;
    std::vector<RetryShare> shares(kProcesses, RetryShare(settings));
    std::deque<Instant> requests;
    std::deque<Instant> retries;
    Instant now = Instant() + seconds(100);
    for (int i = 0; i < 400; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 80));
      const auto process =
          static_cast<size_t>(*rc::gen::inRange(0, kProcesses));
      if (*rc::gen::inRange(0, 3) == 0) {
        shares[process].NoteRequest(now);
        requests.push_back(now);
      } else if (shares[process].TrySpend(kProcesses, now)) {
        retries.push_back(now);
      }
      while (!requests.empty() && requests.front() <= now - seconds(10)) {
        requests.pop_front();
      }
      while (!retries.empty() && retries.front() <= now - seconds(10)) {
        retries.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                settings.ratio * static_cast<double>(requests.size()) +
                    settings.slack);
    }
  }));
}

}  // namespace carawayvalve::core
