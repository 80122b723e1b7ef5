// proof 7: The platform never receives start or stop orders from two holders.

#include "carawayvalve/core/fleet_order_issuer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "lease_simulation.h"

namespace carawayvalve::core {

using base::BootId;
using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Simulates the platform and processes that take turns as the holder of one
// fleet duty.
class PlatformSimulation {
 public:
  explicit PlatformSimulation(model::RandomChoices& choices)
      : simulation(3, choices) {
    for (int i = 0; i < this->simulation.size(); ++i) {
      this->issuers.push_back(this->NewIssuer(i));
    }
    this->simulation.after_step = [this](int i) {
      this->Step(i, FleetGrantUpdated{this->simulation.GrantOf(i)});
      this->Step(i, FleetTick{});
      if (this->issuers[i].ready(this->simulation.ClockOf(i))) {
        this->Step(i, PlaceFleetOrder{});
      }
    };
    this->simulation.after_restart = [this](int i) {
      this->issuers[i] = this->NewIssuer(i);
    };
    this->simulation.may_release = [this](int i) {
      return this->issuers[i].Settled(this->simulation.ClockOf(i));
    };
    this->simulation.before_release = [this](int i) {
      this->Step(i, StopOrdering{});
    };
  }

  model::LeaseSimulation simulation;
  int orders_carried_out = 0;

 private:
  FleetOrderIssuer NewIssuer(int i) {
    return FleetOrderIssuer(this->options, "fleet/a",
                            this->simulation.NameOf(i));
  }

  void Step(int i, const FleetEvent& event) {
    for (const FleetOrderAction& action :
         this->issuers[i].Step(event, this->simulation.ClockOf(i))) {
      std::visit([&](const auto& kind) { this->Perform(i, kind); }, action);
    }
  }

  void Perform(int i, const ReadIntent& read) {
    this->simulation.Call(
        i,
        [=, this]() -> std::function<void()> {
          const auto entry = this->intents.Get("a");
          IntentReadAnswer answer{read.call, std::nullopt, 0};
          if (entry) {
            answer.intent = entry->record;
            answer.version = entry->version;
          }
          return [=, this] { this->Step(i, answer); };
        },
        [=, this] { this->Step(i, IntentCallFailed{read.call}); }, false);
  }
  void Perform(int i, const WriteIntent& write) {
    this->simulation.Call(
        i,
        [=, this]() -> std::function<void()> {
          const auto version =
              this->intents.Put("a", write.intent, write.if_version);
          const FleetEvent answer =
              version ? FleetEvent(IntentWriteDone{write.call, *version})
                      : FleetEvent(IntentCallFailed{write.call});
          return [=, this] { this->Step(i, answer); };
        },
        [=, this] { this->Step(i, IntentCallFailed{write.call}); }, false);
  }
  void Perform(int i, const CallPlatform& call) {
    RC_ASSERT(this->idempotency_keys.insert(call.idempotency_key).second);
    // The process may pause before the last check, and after it for just less
    // than the documented bound.
    const Duration max_duration = this->options.max_call_duration;
    const auto pause = [=, this](int64_t one_in) {
      return this->simulation.choices.OneIn(one_in)
                 ? Duration(milliseconds(this->simulation.choices.Below(8000)))
                 : Duration();
    };
    this->simulation.RunAtMember(i, pause(6), [=, this] {
      if (!this->issuers[i].MaySend(call.token, this->simulation.ClockOf(i))) {
        this->Step(i, PlatformCallNotSent{call.token});
        return;
      }
      const Duration pause_after_check =
          std::min(pause(2), max_duration - milliseconds(1));
      const Duration call_duration = milliseconds(
          this->simulation.choices.Below(base::ToMilliseconds(max_duration)));
      this->simulation.at(i).paused_until =
          this->simulation.time.now() + pause_after_check;
      this->simulation.time.After(
          pause_after_check, [=, this] { this->CheckEpoch(call.token.epoch); });
      this->simulation.time.After(pause_after_check + call_duration,
                                  [=, this] { this->CarryOut(call.token); });
      const bool lost = this->simulation.choices.OneIn(8);
      this->simulation.RunAtMember(
          i, pause_after_check + (lost ? max_duration : call_duration),
          [=, this] {
            this->Step(i, lost
                              ? FleetEvent(PlatformCallLost{call.token})
                              : FleetEvent(PlatformAnswered{call.token, true}));
          });
    });
  }
  void Perform(int i, const ReadPlatform& read) {
    const auto grant = this->simulation.GrantOf(i);
    this->CheckEpoch(grant->epoch);
    if (!this->simulation.choices.OneIn(8)) {
      this->simulation.RunAtMember(i, milliseconds(10), [=, this] {
        this->Step(i, PlatformRead{read.call});
      });
    }
  }
  void Perform(int, const FleetOrderConcluded&) {}

  // The platform carries out an order.
  void CarryOut(const OrderToken& token) {
    this->orders_carried_out += 1;
    this->CheckEpoch(token.epoch);
    RC_ASSERT(this->carried_out.insert(token).second);
  }
  // Checks that no order of an earlier holder takes effect once a later holder
  // has acted on the platform or read its state.
  void CheckEpoch(int64_t epoch) {
    RC_ASSERT(epoch >= this->newest_epoch);
    this->newest_epoch = epoch;
  }

  FleetOrderOptions options{.max_call_duration = seconds(4)};
  std::vector<FleetOrderIssuer> issuers;
  model::Store<FleetIntent> intents;
  std::set<std::string> idempotency_keys;
  std::set<OrderToken> carried_out;
  int64_t newest_epoch = 0;
};

template <typename Action>
const Action& OnlyAction(const std::vector<FleetOrderAction>& actions) {
  REQUIRE(actions.size() == 1);
  return std::get<Action>(actions[0]);
}

}  // namespace

TEST_CASE("FleetOrderIssuer") {
  const Instant start(std::chrono::hours(1));
  const FleetOrderOptions options;
  const FleetOrder stop{FleetAction::kStop, {"svc"}, {"b7"}};
  FleetOrderIssuer issuer(options, "fleet/a", BootId{"me"});
  const LeaseGrant grant{4, start, start + seconds(10), seconds(10)};
  CHECK(issuer.Step(FleetTick{}, start).empty());
  const auto first = issuer.Step(FleetGrantUpdated{grant}, start);
  const int64_t read = OnlyAction<ReadIntent>(first).call;

  SUBCASE(
      "resolves an open intent by a wait and a platform read, then closes it") {
    issuer.Step(
        IntentReadAnswer{read, FleetIntent{{3, 8}, BootId{"x"}, {}, true}, 6},
        start);
    CHECK_FALSE(issuer.ready(start));
    CHECK(issuer.Step(FleetTick{}, start + options.max_call_duration).empty());
    const auto platform_read = issuer.Step(FleetTick{}, start + seconds(3));
    const auto close =
        issuer.Step(PlatformRead{OnlyAction<ReadPlatform>(platform_read).call},
                    start + seconds(3));
    CHECK_FALSE(OnlyAction<WriteIntent>(close).intent.open);
    CHECK(OnlyAction<WriteIntent>(close).if_version == 6);
    issuer.Step(IntentWriteDone{OnlyAction<WriteIntent>(close).call, 7},
                start + seconds(3));
    CHECK(issuer.ready(start + seconds(3)));
  }

  SUBCASE("without an open intent stores an order's intent first") {
    issuer.Step(IntentReadAnswer{read, std::nullopt, 0}, start);
    const WriteIntent open =
        OnlyAction<WriteIntent>(issuer.Step(PlaceFleetOrder{stop}, start));
    CHECK(open.intent == FleetIntent{{4, 1}, BootId{"me"}, stop, true});

    SUBCASE("and makes no call when the write failed") {
      const auto failed = issuer.Step(IntentCallFailed{open.call}, start);
      CHECK(OnlyAction<FleetOrderConcluded>(failed).outcome ==
            FleetOutcome::kNotSent);
    }
    SUBCASE("and delays the call until it fits into the lease") {
      const Instant late = start + seconds(9);
      CHECK(issuer.Step(IntentWriteDone{open.call, 1}, late).empty());
      LeaseGrant renewed = grant;
      renewed.valid_until = start + seconds(18);
      const auto call = issuer.Step(FleetGrantUpdated{renewed}, late);
      CHECK(OnlyAction<CallPlatform>(call).idempotency_key == "fleet/a/4/1");
    }
    SUBCASE("then makes the call once") {
      const auto call = issuer.Step(IntentWriteDone{open.call, 1}, start);
      const OrderToken token = OnlyAction<CallPlatform>(call).token;
      CHECK(issuer.MaySend(token, start));
      CHECK_FALSE(issuer.MaySend(token, start + seconds(9)));
      CHECK_FALSE(issuer.Settled(start));

      SUBCASE("and closes the intent after the answer") {
        const auto done = issuer.Step(PlatformAnswered{token, true}, start);
        REQUIRE(done.size() == 2);
        CHECK(std::get<FleetOrderConcluded>(done[0]).outcome ==
              FleetOutcome::kDone);
        CHECK_FALSE(std::get<WriteIntent>(done[1]).intent.open);
        CHECK(issuer.Settled(start));
      }
      SUBCASE("and reads the platform's state when no answer comes") {
        issuer.Step(PlatformCallLost{token}, start + seconds(2));
        CHECK_FALSE(issuer.Settled(start + seconds(2)));
        const auto platform_read = issuer.Step(FleetTick{}, start + seconds(4));
        const auto known = issuer.Step(
            PlatformRead{OnlyAction<ReadPlatform>(platform_read).call},
            start + seconds(4));
        CHECK(std::get<FleetOrderConcluded>(known.at(0)).outcome ==
              FleetOutcome::kUnknown);
      }
      SUBCASE("and concludes it as unknown when the lease is lost") {
        const auto lost = issuer.Step(FleetGrantUpdated{}, start);
        CHECK(OnlyAction<FleetOrderConcluded>(lost).outcome ==
              FleetOutcome::kUnknown);
        CHECK_FALSE(issuer.MaySend(token, start));
      }
    }
  }

  SUBCASE("round-trips an intent through JSON and rejects other text") {
    const FleetIntent intent{{1, 2}, BootId{"x"}, stop, true};
    CHECK(ParseFleetIntent(PrintFleetIntent(intent)) == intent);
    CHECK_THROWS(ParseFleetIntent("7"));
  }
}

TEST_CASE("FleetOrderIssuer across changes of holder") {
  CHECK(rc::check("no order takes effect after a later holder has acted", [] {
    // Calls in flight while the lease expires are rare, so each case runs
    // several simulations.
    for (int i = 0; i < 4; ++i) {
      model::RandomChoices choices = model::RandomChoices::Draw();
      PlatformSimulation platform(choices);
      platform.simulation.Run(200);
      RC_CLASSIFY(platform.simulation.takeovers > 1 &&
                  platform.orders_carried_out > 10);
    }
  }));
}

}  // namespace carawayvalve::core
