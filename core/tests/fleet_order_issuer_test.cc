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

// The platform, and processes that order its backend servers in turn.
class PlatformWorld {
 public:
  explicit PlatformWorld(model::RandomChoices& choices) : world(3, choices) {
    for (int i = 0; i < this->world.size(); ++i) {
      this->fleets.push_back(this->NewFleet(i));
    }
    this->world.after_step = [this](int i) {
      this->Step(i, FleetGrantUpdated{this->world.GrantOf(i)});
      this->Step(i, FleetTick{});
      if (this->fleets[i].ready(this->world.ClockOf(i))) {
        this->Step(i, PlaceFleetOrder{});
      }
    };
    this->world.after_restart = [this](int i) {
      this->fleets[i] = this->NewFleet(i);
    };
    this->world.may_release = [this](int i) {
      return this->fleets[i].Settled(this->world.ClockOf(i));
    };
    this->world.before_release = [this](int i) {
      this->Step(i, StopOrdering{});
    };
  }

  model::LeaseSimulation world;
  int orders_taken = 0;

 private:
  FleetOrderIssuer NewFleet(int i) {
    return FleetOrderIssuer(this->options, "fleet/a", this->world.NameOf(i));
  }

  void Step(int i, const FleetEvent& event) {
    for (const FleetOrderAction& action :
         this->fleets[i].Step(event, this->world.ClockOf(i))) {
      std::visit([&](const auto& kind) { this->Do(i, kind); }, action);
    }
  }

  void Do(int i, const ReadIntent& read) {
    this->world.Call(
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
  void Do(int i, const WriteIntent& write) {
    this->world.Call(
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
  void Do(int i, const CallPlatform& call) {
    RC_ASSERT(this->keys.insert(call.idempotency_key).second);
    // A pause before the last check, and one after it that is just within
    // what the header allows.
    const Duration limit = this->options.max_call_duration;
    const auto pause = [=, this](int64_t one_in) {
      return this->world.choices.OneIn(one_in)
                 ? Duration(milliseconds(this->world.choices.Below(8000)))
                 : Duration();
    };
    this->world.RunAtMember(i, pause(6), [=, this] {
      if (!this->fleets[i].MaySend(call.token, this->world.ClockOf(i))) {
        this->Step(i, PlatformCallNotSent{call.token});
        return;
      }
      const Duration paused = std::min(pause(2), limit - milliseconds(1));
      const Duration taken =
          milliseconds(this->world.choices.Below(base::ToMilliseconds(limit)));
      this->world.at(i).paused_until = this->world.time.now() + paused;
      this->world.time.After(paused,
                             [=, this] { this->Act(call.token.epoch); });
      this->world.time.After(paused + taken,
                             [=, this] { this->Obey(call.token); });
      const bool lost = this->world.choices.OneIn(8);
      this->world.RunAtMember(i, paused + (lost ? limit : taken), [=, this] {
        this->Step(i, lost ? FleetEvent(PlatformCallLost{call.token})
                           : FleetEvent(PlatformAnswered{call.token, true}));
      });
    });
  }
  void Do(int i, const ReadPlatform& read) {
    const auto grant = this->world.GrantOf(i);
    this->Act(grant->epoch);
    if (!this->world.choices.OneIn(8)) {
      this->world.RunAtMember(i, milliseconds(10), [=, this] {
        this->Step(i, PlatformRead{read.call});
      });
    }
  }
  void Do(int, const FleetOrderConcluded&) {}

  // The platform carries an order out.
  void Obey(const OrderToken& token) {
    this->orders_taken += 1;
    this->Act(token.epoch);
    RC_ASSERT(this->obeyed.insert(token).second);
  }
  // Nothing of an earlier holder takes effect once a later one has looked.
  void Act(int64_t epoch) {
    RC_ASSERT(epoch >= this->newest_epoch);
    this->newest_epoch = epoch;
  }

  FleetOrderOptions options{.max_call_duration = seconds(4)};
  std::vector<FleetOrderIssuer> fleets;
  model::Store<FleetIntent> intents;
  std::set<std::string> keys;
  std::set<OrderToken> obeyed;
  int64_t newest_epoch = 0;
};

template <typename Action>
const Action& Only(const std::vector<FleetOrderAction>& actions) {
  REQUIRE(actions.size() == 1);
  return std::get<Action>(actions[0]);
}

}  // namespace

TEST_CASE("FleetOrders") {
  const Instant start(std::chrono::hours(1));
  const FleetOrderOptions options;
  const FleetOrder stop{FleetAction::kStop, {"svc"}, {"b7"}};
  FleetOrderIssuer fleet(options, "fleet/a", BootId{"me"});
  const LeaseGrant grant{4, start, start + seconds(10), seconds(10)};
  CHECK(fleet.Step(FleetTick{}, start).empty());
  const auto first = fleet.Step(FleetGrantUpdated{grant}, start);
  const int64_t read = Only<ReadIntent>(first).call;

  SUBCASE("an intent left open is waited out, looked into and closed first") {
    fleet.Step(
        IntentReadAnswer{read, FleetIntent{{3, 8}, BootId{"x"}, {}, true}, 6},
        start);
    CHECK_FALSE(fleet.ready(start));
    CHECK(fleet.Step(FleetTick{}, start + options.max_call_duration).empty());
    const auto look = fleet.Step(FleetTick{}, start + seconds(3));
    const auto close = fleet.Step(PlatformRead{Only<ReadPlatform>(look).call},
                                  start + seconds(3));
    CHECK_FALSE(Only<WriteIntent>(close).intent.open);
    CHECK(Only<WriteIntent>(close).if_version == 6);
    fleet.Step(IntentWriteDone{Only<WriteIntent>(close).call, 7},
               start + seconds(3));
    CHECK(fleet.ready(start + seconds(3)));
  }

  SUBCASE("without one, an order's intent is stored first") {
    fleet.Step(IntentReadAnswer{read, std::nullopt, 0}, start);
    const WriteIntent open =
        Only<WriteIntent>(fleet.Step(PlaceFleetOrder{stop}, start));
    CHECK(open.intent == FleetIntent{{4, 1}, BootId{"me"}, stop, true});

    SUBCASE("and the call isn't made when that failed") {
      const auto failed = fleet.Step(IntentCallFailed{open.call}, start);
      CHECK(Only<FleetOrderConcluded>(failed).outcome ==
            FleetOutcome::kNotSent);
    }
    SUBCASE("and the call waits for a lease that it fits into") {
      const Instant late = start + seconds(9);
      CHECK(fleet.Step(IntentWriteDone{open.call, 1}, late).empty());
      LeaseGrant renewed = grant;
      renewed.valid_until = start + seconds(18);
      const auto call = fleet.Step(FleetGrantUpdated{renewed}, late);
      CHECK(Only<CallPlatform>(call).idempotency_key == "fleet/a/4/1");
    }
    SUBCASE("then the call is made once") {
      const auto call = fleet.Step(IntentWriteDone{open.call, 1}, start);
      const OrderToken token = Only<CallPlatform>(call).token;
      CHECK(fleet.MaySend(token, start));
      CHECK_FALSE(fleet.MaySend(token, start + seconds(9)));
      CHECK_FALSE(fleet.Settled(start));

      SUBCASE("its answer closes the intent") {
        const auto done = fleet.Step(PlatformAnswered{token, true}, start);
        REQUIRE(done.size() == 2);
        CHECK(std::get<FleetOrderConcluded>(done[0]).outcome ==
              FleetOutcome::kDone);
        CHECK_FALSE(std::get<WriteIntent>(done[1]).intent.open);
        CHECK(fleet.Settled(start));
      }
      SUBCASE("without an answer the platform's state is read") {
        fleet.Step(PlatformCallLost{token}, start + seconds(2));
        CHECK_FALSE(fleet.Settled(start + seconds(2)));
        const auto look = fleet.Step(FleetTick{}, start + seconds(4));
        const auto known = fleet.Step(
            PlatformRead{Only<ReadPlatform>(look).call}, start + seconds(4));
        CHECK(std::get<FleetOrderConcluded>(known.at(0)).outcome ==
              FleetOutcome::kUnknown);
      }
      SUBCASE("a lost lease leaves it to the successor") {
        const auto lost = fleet.Step(FleetGrantUpdated{}, start);
        CHECK(Only<FleetOrderConcluded>(lost).outcome ==
              FleetOutcome::kUnknown);
        CHECK_FALSE(fleet.MaySend(token, start));
      }
    }
  }

  SUBCASE("an intent survives its printed form, and nothing else is read") {
    const FleetIntent intent{{1, 2}, BootId{"x"}, stop, true};
    CHECK(ParseFleetIntent(PrintFleetIntent(intent)) == intent);
    CHECK_THROWS(ParseFleetIntent("7"));
  }
}

TEST_CASE("FleetOrders of processes that take over from one another") {
  CHECK(rc::check("no order takes effect once a later holder has looked", [] {
    // Calls in flight as the lease lapses are rare: several worlds a case.
    for (int i = 0; i < 4; ++i) {
      model::RandomChoices choices = model::RandomChoices::Draw();
      PlatformWorld platform(choices);
      platform.world.Run(200);
      RC_CLASSIFY(platform.world.takeovers > 1 && platform.orders_taken > 10);
    }
  }));
}

}  // namespace carawayvalve::core
