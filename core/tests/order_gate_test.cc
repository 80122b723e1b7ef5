// proof 1: An engine never receives conflicting orders.
// proof 3: Orders from a process that has lost its authority have no effect.

#include "carawayvalve/core/order_gate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "carawayvalve/core/lease.h"
#include "lease_simulation.h"

namespace carawayvalve::core {

using base::BootId;
using base::Instant;
using std::chrono::seconds;

namespace {

constexpr char kDuty[] = "roles/a";
const Instant kStart(std::chrono::hours(1));
const BootId kBoot{"boot"};

StampedOrder Order(int64_t epoch, int64_t sequence) {
  return {kDuty,  {epoch, sequence}, kBoot,
          kStart, seconds(10),       {.role = config::EngineRole::kDecode}};
}

template <typename Action>
const Action* Find(const std::vector<GateAction>& actions) {
  for (const GateAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

std::optional<OrderRefusal> RefusalIn(const std::vector<GateAction>& actions) {
  const auto* answer = Find<AnswerOrder>(actions);
  return answer && answer->result.outcome == OrderOutcome::kRefused
             ? std::optional(answer->result.refusal)
             : std::nullopt;
}

}  // namespace

TEST_CASE("OrderGate") {
  const OrderGateOptions options;
  OrderGate gate(options, kDuty, kBoot);
  const auto arrive = [&](const StampedOrder& order, Instant now) {
    return gate.Step(OrderArrived{1, order}, now);
  };

  const auto first = gate.Step(GateTick{}, kStart);
  REQUIRE(Find<ReadMark>(first));
  CHECK(RefusalIn(arrive(Order(0, 9), kStart)) == OrderRefusal::kMarkUnknown);
  const int64_t read = Find<ReadMark>(first)->call;

  SUBCASE("waits for an order of an earlier run, with the role unknown") {
    gate.Step(
        MarkReadAnswer{read, OrderHighWaterMark{{3, 4}, BootId{"old"}, true},
                       5},
        kStart);
    CHECK_FALSE(gate.role_known());
    CHECK(RefusalIn(arrive(Order(3, 4), kStart)) == OrderRefusal::kStaleToken);
    CHECK(RefusalIn(arrive(Order(3, 5), kStart)) == OrderRefusal::kBusy);
    CHECK_FALSE(gate.busy(kStart + options.max_order_duration));
  }

  SUBCASE("refuses orders of another duty or boot, stale or expired ones") {
    gate.Step(MarkReadAnswer{read, std::nullopt, 0}, kStart);
    CHECK(RefusalIn(arrive(Order(0, 9), kStart)) == OrderRefusal::kStaleToken);
    StampedOrder order = Order(1, 1);
    order.duty = "roles/b";
    CHECK(RefusalIn(arrive(order, kStart)) == OrderRefusal::kWrongDuty);
    order = Order(1, 1);
    order.agent_boot = BootId{"old"};
    CHECK(RefusalIn(arrive(order, kStart)) == OrderRefusal::kWrongBoot);
    order = Order(1, 1);
    order.stamp = kStart + seconds(1);
    CHECK(RefusalIn(arrive(order, kStart)) == OrderRefusal::kWrongBoot);
    const Instant end = kStart + seconds(10) - DriftMargin(seconds(10));
    CHECK(RefusalIn(arrive(Order(1, 1), end)) == OrderRefusal::kExpired);
  }

  SUBCASE("drains a busy engine before it runs an order") {
    gate.Step(MarkReadAnswer{read, std::nullopt, 0}, kStart);
    const auto arrive_while_busy = [&](const StampedOrder& order, Instant now) {
      return gate.Step(OrderArrived{1, order, false}, now);
    };
    const auto refused = arrive_while_busy(Order(1, 1), kStart);
    CHECK(RefusalIn(refused) == OrderRefusal::kNotIdle);
    CHECK_FALSE(Find<WriteMark>(refused));
    CHECK(gate.holds_requests(kStart));
    CHECK(RefusalIn(arrive(Order(1, 1), kStart)) == OrderRefusal::kStaleToken);

    SUBCASE("and holds new requests until the order is resent") {
      const Instant again = kStart + seconds(4);
      const auto accepted = arrive(Order(1, 2), again);
      REQUIRE(Find<WriteMark>(accepted));
      CHECK(gate.holds_requests(again + options.drain_hold));
    }
    SUBCASE("and releases them when it isn't resent in time") {
      CHECK_FALSE(gate.holds_requests(kStart + options.drain_hold));
    }
    SUBCASE("but holds no requests for an order without authority") {
      const Instant later = kStart + options.drain_hold;
      StampedOrder order = Order(1, 2);
      order.agent_boot = {"other"};
      CHECK(RefusalIn(arrive_while_busy(order, later)) ==
            OrderRefusal::kWrongBoot);
      CHECK(RefusalIn(arrive_while_busy(Order(1, 1), later)) ==
            OrderRefusal::kStaleToken);
      CHECK_FALSE(gate.holds_requests(later));
    }
  }

  SUBCASE("saves the token before it runs the order") {
    gate.Step(MarkReadAnswer{read, OrderHighWaterMark{{1, 0}, kBoot, false}, 5},
              kStart);
    const auto accepted = arrive(Order(1, 1), kStart);
    const auto* save = Find<WriteMark>(accepted);
    REQUIRE(save);
    CHECK(save->mark == OrderHighWaterMark{{1, 1}, kBoot, true});
    CHECK(save->if_version == 5);

    SUBCASE("refuses the order when the write fails, and rereads the mark") {
      CHECK(RefusalIn(gate.Step(MarkCallFailed{save->call}, kStart)) ==
            OrderRefusal::kMarkNotSaved);
      CHECK(RefusalIn(arrive(Order(1, 2), kStart)) ==
            OrderRefusal::kMarkUnknown);
      CHECK(Find<ReadMark>(gate.Step(GateTick{}, kStart + seconds(1))));
    }
    SUBCASE("refuses the order when it expired during the write") {
      CHECK(RefusalIn(gate.Step(MarkWriteDone{save->call, 6},
                                kStart + seconds(10))) ==
            OrderRefusal::kExpired);
    }
    SUBCASE("refuses the order when a later one arrived during the write") {
      CHECK(RefusalIn(arrive(Order(2, 1), kStart)) == OrderRefusal::kBusy);
      CHECK(RefusalIn(gate.Step(MarkWriteDone{save->call, 6}, kStart)) ==
            OrderRefusal::kStaleToken);
    }
    SUBCASE("then runs the order, and no other concurrently") {
      const auto run = gate.Step(MarkWriteDone{save->call, 6}, kStart);
      REQUIRE(Find<RunOrder>(run));
      CHECK(RefusalIn(arrive(Order(1, 2), kStart)) == OrderRefusal::kBusy);

      SUBCASE("and answers that it is done and closes the mark") {
        const auto done = gate.Step(EngineAnswered{{1, 1}, OrderOutcome::kDone},
                                    kStart + seconds(1));
        CHECK(Find<AnswerOrder>(done)->result.outcome == OrderOutcome::kDone);
        REQUIRE(Find<WriteMark>(done));
        CHECK_FALSE(Find<WriteMark>(done)->mark.open);
        gate.Step(MarkWriteDone{Find<WriteMark>(done)->call, 7}, kStart);
        CHECK(Find<WriteMark>(arrive(Order(1, 3), kStart + seconds(1))));
      }
      SUBCASE("and without an answer stays busy, with the role unknown") {
        const auto lost =
            gate.Step(EngineAnswered{{1, 1}, OrderOutcome::kUnknown}, kStart);
        CHECK(Find<AnswerOrder>(lost)->result.outcome ==
              OrderOutcome::kUnknown);
        CHECK_FALSE(gate.role_known());
        CHECK(gate.busy(kStart + options.max_order_duration - seconds(1)));
        CHECK_FALSE(gate.busy(kStart + options.max_order_duration));
      }
      SUBCASE("and after an engine restart has an unknown role") {
        gate.Step(EngineRestarted{}, kStart);
        CHECK(gate.busy(kStart));
        gate.Step(EngineAnswered{{1, 1}, OrderOutcome::kUnknown}, kStart);
        CHECK_FALSE(gate.role_known());
      }
    }
  }

  SUBCASE("round-trips a mark through JSON and rejects other text") {
    const OrderHighWaterMark mark{{1, 2}, kBoot, true};
    CHECK(ParseOrderHighWaterMark(PrintOrderHighWaterMark(mark)) == mark);
    CHECK_THROWS(ParseOrderHighWaterMark("[]"));
    CHECK(FencingNumber({2, 0}) > FencingNumber({1, 1000000}));
  }
}

TEST_CASE("OrderGate across restarts of agent and engine") {
  CHECK(rc::check("tokens increase, runs don't overlap or outlast orders", [] {
    model::RandomChoices choices = model::RandomChoices::Draw();
    const OrderGateOptions options{.max_order_duration = seconds(10)};
    Instant now = kStart;
    int64_t run_number = 0;
    const auto boot = [&] { return BootId{std::to_string(run_number)}; };
    OrderGate gate(options, kDuty, boot());
    model::Store<OrderHighWaterMark> store;
    std::vector<GateAction> pending_actions;
    std::optional<OrderToken> at_engine;
    std::map<OrderToken, StampedOrder> orders;
    Instant engine_busy_until;
    OrderToken last_run;
    int runs = 0;

    const auto run = [&](const OrderToken& token) {
      RC_ASSERT(now >= engine_busy_until);
      RC_ASSERT(token > last_run);
      RC_ASSERT(orders.at(token).agent_boot == boot());
      RC_ASSERT(now < OrderExpiry(orders.at(token)));
      last_run = token;
      at_engine = token;
      engine_busy_until = now + seconds(choices.Below(10));
      runs += 1;
    };
    const auto step = [&](const GateEvent& event) {
      for (const GateAction& action : gate.Step(event, now)) {
        if (const auto* order = std::get_if<RunOrder>(&action)) {
          run(order->token);
        } else {
          pending_actions.push_back(action);
        }
      }
    };
    const auto carry_out = [&](const GateAction& action) {
      if (const auto* read = std::get_if<ReadMark>(&action)) {
        const auto mark = store.Get("a");
        step(mark ? MarkReadAnswer{read->call, mark->record, mark->version}
                  : MarkReadAnswer{read->call, std::nullopt, 0});
      } else if (const auto* write = std::get_if<WriteMark>(&action)) {
        const auto version = store.Put("a", write->mark, write->if_version);
        const bool lost = choices.OneIn(8);
        step(version && !lost ? GateEvent(MarkWriteDone{write->call, *version})
                              : GateEvent(MarkCallFailed{write->call}));
      }
    };
    for (int i = 0; i < 300; ++i) {
      now += std::chrono::milliseconds(choices.Below(1000));
      step(GateTick{});
      const int64_t choice = choices.Below(32);
      if (choice == 31) {
        run_number += 1;
        gate = OrderGate(options, kDuty, boot());
        // A mark write of the previous run may still take effect.
        std::erase_if(pending_actions, [&](const auto& action) {
          return !std::holds_alternative<WriteMark>(action) || choices.OneIn(2);
        });
      } else if (choice == 30) {
        step(EngineRestarted{});
        engine_busy_until = now;
      } else if (choice >= 20) {
        // The order may be late, duplicate or out of sequence.
        const int64_t age = choices.OneIn(2) ? choices.Below(50) : 0;
        StampedOrder order = Order(1, std::max<int64_t>(1, i - age));
        order.agent_boot = boot();
        order.stamp = now - seconds(choices.Below(12));
        step(OrderArrived{i, orders.emplace(order.token, order).first->second});
      } else if (choice >= 12 && at_engine) {
        const bool done = now >= engine_busy_until;
        step(EngineAnswered{
            *at_engine, done ? OrderOutcome::kDone : OrderOutcome::kUnknown});
        at_engine.reset();
      } else if (!pending_actions.empty()) {
        const GateAction action = pending_actions.front();
        pending_actions.erase(pending_actions.begin());
        carry_out(action);
      }
    }
    RC_CLASSIFY(runs > 5);
  }));
}

}  // namespace carawayvalve::core
