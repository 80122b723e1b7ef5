#include <doctest/doctest.h>

#include <algorithm>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using config::EngineRole;
using tests::Backend;

namespace {

// From this time after a limit was named on, at most kToleratedFactor times
// what it allows, and kToleratedRequests more, may arrive in any kLimitWindow
// (the platform's rule).
constexpr std::chrono::seconds kContactTime(3);
constexpr std::chrono::seconds kLimitWindow(4);
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

constexpr double kLimit = 2;

// Returns the highest number of requests in any window that ends at least
// kContactTime after `named`.
int64_t MostInWindow(const Backend& backend, base::Instant named) {
  int64_t most = 0;
  for (const tests::BackendArrival& last : backend.arrivals) {
    if (last.at >= named + kContactTime) {
      most = std::max<int64_t>(
          most, std::count_if(backend.arrivals.begin(), backend.arrivals.end(),
                              [&](const tests::BackendArrival& one) {
                                return one.at > last.at - kLimitWindow &&
                                       one.at <= last.at;
                              }));
    }
  }
  return most;
}

int64_t Tolerated() {
  const double window = std::chrono::duration<double>(kLimitWindow).count();
  return static_cast<int64_t>(kToleratedFactor * kLimit * window +
                              kToleratedRequests);
}

}  // namespace

TEST_CASE("a backend server gets more requests than the limit it has named") {
  RequestFixture fixture(1);
  Backend limited(fixture.gateway.loop, {.id = "limited"}, fixture.runs);
  fixture.Add("limited", limited.port(), EngineRole::kDecode);
  Backend other(fixture.gateway.loop, {.id = "other"}, fixture.runs);
  fixture.Add("other", other.port(), EngineRole::kDecode);
  // Makes the limited engine the better choice.
  fixture.gateway.state.load.NoteSent({"other"}, {5, 0, 1000});
  limited.rate_limit = std::to_string(kLimit);
  const base::Instant named = base::Now();
  int64_t served = 0;
  int64_t sent = 0;
  while (base::Now() < named + kContactTime + kLimitWindow) {
    ++sent;
    fixture.SendRequest([](const std::string&) {});
    served += fixture.status == 200 && fixture.complete ? 1 : 0;
  }
  CHECK(MostInWindow(limited, named) <= Tolerated());
  CHECK(MostInWindow(limited, named) > 0);
  CHECK(served == sent);

  SUBCASE("and is used again once it names none") {
    limited.rate_limit.clear();
    // Else a busy machine makes now one engine, now the other look slower.
    fixture.gateway.state.directory.NoteLeaving({"other"}, 0, base::Now());
    const size_t before = limited.arrivals.size();
    const base::Instant withdrawn = base::Now();
    while (base::Now() < withdrawn + std::chrono::seconds(3)) {
      fixture.SendRequest([](const std::string&) {});
    }
    CHECK(static_cast<int64_t>(limited.arrivals.size() - before) > Tolerated());
  }
}

}  // namespace carawayvalve::gateway
