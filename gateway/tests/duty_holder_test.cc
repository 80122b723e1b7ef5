// Guards against two gateways that use one fencing token, the lease of one of
// which was lost as the store came back from an older copy.
#include "duty_holder.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Milliseconds kSlice(10);
constexpr Milliseconds kLease(300);
// A holder is followed by another one within this time.
constexpr seconds kMaxTakeover(4);

GatewaySettings DutySettings(const std::string& host) {
  GatewaySettings settings;
  settings.host = {host};
  settings.duties.address = {"127.0.0.1", 1};
  settings.duties.lease = kLease;
  return settings;
}

// One run of a gateway, with what takes the duties.
struct Candidate {
  Candidate(const std::string& host, const std::string& store)
      : host{host},
        gateway(DutySettings(host)),
        objects(gateway.loop, base::ParseAddress(store), Milliseconds(1000)) {
    this->gateway.on_store_era = [this](int64_t era) {
      this->duties.NoteStoreEra(era);
    };
  }

  bool Holds() const { return this->duties.holds(base::Now()); }

  base::HostId host;
  TestGateway gateway;
  platform::ObjectClient objects;
  StoreFeed feed{gateway.context, objects};
  RecentStore recent{gateway.context, objects, feed};
  DutyHolder duties{gateway.context, objects, recent};
};

// Candidates of which some stand still.
struct Candidates {
  Candidate& Add(const std::string& host) {
    this->all.push_back(
        std::make_unique<Candidate>(host, this->store.address()));
    return *this->all.back();
  }

  // Runs these, and the store, until `done` or the time is over.
  template <typename Done>
  bool RunUntil(const std::vector<Candidate*>& running, const Done& done) {
    std::vector<base::HostId> live;
    live.reserve(running.size());
    for (const Candidate* candidate : running) {
      live.push_back(candidate->host);
    }
    const base::Instant end = base::Now() + kMaxTakeover;
    while (base::Now() < end && !done()) {
      this->platform.RunFor(kSlice);
      for (Candidate* candidate : running) {
        candidate->duties.Tick(live);
        candidate->gateway.RunFor(kSlice);
      }
    }
    return done();
  }
  bool RunUntilHeld(Candidate& by) {
    return this->RunUntil({&by}, [&] { return by.Holds(); });
  }

  TestGateway platform{DutySettings("platform")};
  tests::Store store{platform.loop};
  std::vector<std::unique_ptr<Candidate>> all;
};

}  // namespace

TEST_CASE("the store comes back from a copy of before the last takeover") {
  Candidates candidates;
  Candidate& first = candidates.Add("edge-1");
  REQUIRE(candidates.RunUntilHeld(first));
  const auto copy = candidates.store.Backup();
  Candidate& second = candidates.Add("edge-2");
  REQUIRE(candidates.RunUntilHeld(second));
  const int64_t epoch = second.duties.epoch();
  CHECK(epoch > first.duties.epoch());
  candidates.store.ReturnTo(*copy);

  SUBCASE("a successor has a higher token than the lost holder") {
    Candidate& third = candidates.Add("edge-3");
    REQUIRE(candidates.RunUntilHeld(third));
    CHECK(third.duties.epoch() > epoch);
    CHECK_FALSE(second.Holds());
  }
  SUBCASE("the lost holder stops and takes the lease with a higher token") {
    CHECK(candidates.RunUntil({&second}, [&] { return !second.Holds(); }));
    REQUIRE(candidates.RunUntilHeld(second));
    CHECK(second.duties.epoch() > epoch);
  }
  SUBCASE("the holder of the copy doesn't go on as if it held the lease") {
    CHECK(candidates.RunUntil({&first}, [&] { return first.Holds(); }));
    CHECK(first.duties.epoch() > epoch);
  }
}

}  // namespace carawayvalve::gateway
