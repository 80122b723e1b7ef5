#include "carawayvalve/core/order_issuer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "lease_simulation.h"

namespace carawayvalve::core {

using base::BackendServerId;
using base::BootId;
using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Simulates agents and their engines, which receive orders late, twice or out
// of order.
class AgentSimulation {
 public:
  struct Agent {
    model::Clock clock;
    int64_t run = 0;
    OrderGate gate;
    OrderToken last_run;
    Duration engine_busy_until{};
  };

  explicit AgentSimulation(model::RandomChoices& choices)
      : simulation(3, choices) {
    for (int a = 0; a < kAgents; ++a) {
      this->agents.push_back(
          {model::Clock::Draw(choices), 0, this->NewGate(a, 0), {}, {}});
    }
    this->issuers.assign(this->simulation.size(), OrderIssuer("duty"));
    this->simulation.after_step = [this](int i) {
      this->Step(i, LeaseGrantUpdated{this->simulation.GrantOf(i)});
    };
    this->simulation.after_restart = [this](int i) {
      this->issuers[i] = OrderIssuer("duty");
    };
    this->simulation.may_release = [this](int i) {
      return this->issuers[i].Settled(this->simulation.ClockOf(i));
    };
    this->simulation.before_release = [this](int i) {
      this->Step(i, StopIssuing{});
    };
  }

  void Run(int seconds_to_run) {
    for (int second = 0; second < seconds_to_run; ++second) {
      this->simulation.Run(1);
      const int a = static_cast<int>(this->simulation.choices.Below(kAgents));
      if (this->simulation.choices.OneIn(32)) {
        this->agents[a].run += 1;
        this->agents[a].gate = this->NewGate(a, this->agents[a].run);
      }
      for (int b = 0; b < kAgents; ++b) {
        this->Step(b, GateTick{}, this->agents[b].run);
        this->SendStatus(b);
      }
      for (int i = 0; i < this->simulation.size(); ++i) {
        this->simulation.RunAtMember(i, {}, [=, this] {
          this->Step(i, IssueOrder{this->NameOf(a), {}});
        });
      }
    }
  }

  model::LeaseSimulation simulation;
  int runs = 0;

 private:
  static constexpr int kAgents = 3;

  static BootId BootOf(int a, int64_t run) {
    return {"agent " + std::to_string(a) + "." + std::to_string(run)};
  }
  static BackendServerId NameOf(int a) { return {std::to_string(a)}; }
  static OrderGate NewGate(int a, int64_t run) {
    return OrderGate({.max_order_duration = seconds(10)}, "duty",
                     BootOf(a, run));
  }

  void SendStatus(int a) {
    const Agent& agent = this->agents[a];
    const StampReceived status{NameOf(a), BootOf(a, agent.run),
                               agent.clock.At(this->simulation.time.now())};
    for (int i = 0; i < this->simulation.size(); ++i) {
      this->simulation.RunAtMember(
          i, milliseconds(this->simulation.choices.Below(900)),
          [=, this] { this->Step(i, status); });
    }
  }

  void Step(int i, const IssuerEvent& event) {
    for (const IssuerAction& action :
         this->issuers[i].Step(event, this->simulation.ClockOf(i))) {
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        this->holder_of[send->order.token.epoch] = this->simulation.NameOf(i);
        this->Send(i, *send);
        if (this->simulation.choices.OneIn(8)) {
          this->Send(i, *send);
        }
      }
    }
  }

  void Send(int i, const SendOrder& send) {
    const int a = std::stoi(send.agent.value);
    const bool late = this->simulation.choices.OneIn(8);
    const auto delay =
        milliseconds(this->simulation.choices.Below(late ? 16000 : 20));
    if (late && this->simulation.choices.OneIn(2)) {
      // The holder itself is paused before it writes to the socket.
      this->simulation.at(i).paused_until = this->simulation.time.now() + delay;
    }
    this->simulation.time.After(delay, [=, this] {
      this->call_of[++this->calls] = {i, send.order.token};
      this->Step(a, OrderArrived{this->calls, send.order}, this->agents[a].run);
    });
    if (late) {
      this->simulation.RunAtMember(i, seconds(1), [=, this] {
        this->Step(i, OrderLost{send.order.token});
      });
    }
  }

  void Step(int a, const GateEvent& event, int64_t run) {
    Agent& agent = this->agents[a];
    if (agent.run != run) {
      return;
    }
    const Instant now = agent.clock.At(this->simulation.time.now());
    for (const GateAction& action : agent.gate.Step(event, now)) {
      std::visit([&](const auto& kind) { this->Perform(a, kind); }, action);
    }
  }
  // Delivers `event` to the agent after `wait`, unless it has restarted.
  void StepLater(int a, Duration wait, const GateEvent& event) {
    this->simulation.time.After(wait, [=, this, run = this->agents[a].run] {
      this->Step(a, event, run);
    });
  }

  void Perform(int a, const ReadMark& read) {
    const auto mark = this->marks.Get(NameOf(a).value);
    this->StepLater(a, milliseconds(5),
                    mark
                        ? MarkReadAnswer{read.call, mark->record, mark->version}
                        : MarkReadAnswer{read.call, std::nullopt, 0});
  }
  void Perform(int a, const WriteMark& write) {
    const auto version =
        this->marks.Put(NameOf(a).value, write.mark, write.if_version);
    const bool slow = this->simulation.choices.OneIn(4);
    this->StepLater(a, milliseconds(slow ? 2500 : 5),
                    version ? GateEvent(MarkWriteDone{write.call, *version})
                            : GateEvent(MarkCallFailed{write.call}));
  }
  void Perform(int a, const RunOrder& run) {
    Agent& agent = this->agents[a];
    const LeaseRecord lease = this->simulation.leases.Get("duty")->record;
    RC_ASSERT(run.token.epoch == lease.epoch);
    RC_ASSERT(this->holder_of.at(run.token.epoch) == lease.holder);
    RC_ASSERT(run.token > agent.last_run);
    RC_ASSERT(this->simulation.time.now() >= agent.engine_busy_until);
    agent.last_run = run.token;
    const Duration length = milliseconds(this->simulation.choices.Below(1500));
    agent.engine_busy_until = this->simulation.time.now() + length;
    this->StepLater(a, length, EngineAnswered{run.token, OrderOutcome::kDone});
    this->runs += 1;
  }
  void Perform(int, const AnswerOrder& answer) {
    const auto [i, token] = this->call_of.at(answer.call);
    this->simulation.RunAtMember(
        i, milliseconds(5), [=, this, i = i, token = token] {
          this->Step(i, OrderAnswered{token, answer.result});
        });
  }

  std::vector<Agent> agents;
  std::vector<OrderIssuer> issuers;
  model::Store<OrderHighWaterMark> marks;
  std::map<int64_t, BootId> holder_of;
  std::map<int64_t, std::pair<int, OrderToken>> call_of;
  int64_t calls = 0;
};

}  // namespace

TEST_CASE("OrderIssuer") {
  const Instant start(std::chrono::hours(1));
  const BackendServerId agent{"a"};
  const BootId boot{"boot"};
  OrderIssuer issuer("duty");
  const auto hold = [&](Instant renewed) {
    issuer.Step(LeaseGrantUpdated{LeaseGrant{3, renewed, renewed + seconds(9),
                                             seconds(10)}},
                renewed);
  };
  const auto issue = [&](Instant now) {
    return issuer.Step(IssueOrder{agent, {}}, now).at(0);
  };
  const auto reason = [&](Instant now) {
    return std::get<OrderNotIssued>(issue(now)).reason;
  };

  SUBCASE("issues nothing without the lease or after it has expired") {
    CHECK(reason(start) == NotIssuedReason::kNotHolder);
    issuer.Step(StampReceived{agent, boot, Instant(seconds(70))}, start);
    hold(start);
    CHECK(reason(start + seconds(9)) == NotIssuedReason::kNotHolder);
  }

  SUBCASE("uses no stamp received after the last renewal was sent") {
    hold(start);
    issuer.Step(StampReceived{agent, boot, Instant(seconds(70))},
                start + seconds(1));
    CHECK(reason(start + seconds(1)) == NotIssuedReason::kNoStamp);
    hold(start + seconds(2));
    issuer.Step(StampReceived{agent, boot, Instant(seconds(72))},
                start + seconds(3));
    const StampedOrder order =
        std::get<SendOrder>(issue(start + seconds(3))).order;
    CHECK(order.stamp == Instant(seconds(70)));
    CHECK(order.token == OrderToken{3, 1});
    CHECK(order.agent_boot == boot);

    SUBCASE("and no stamp from an earlier run of the agent") {
      issuer.Step(OrderLost{order.token}, start + seconds(3));
      issuer.Step(StampReceived{agent, BootId{"new"}, Instant(seconds(1))},
                  start + seconds(3));
      CHECK(reason(start + seconds(3)) == NotIssuedReason::kNoStamp);
    }
    SUBCASE("sends one order at a time, and resends with a new sequence") {
      CHECK(reason(start + seconds(3)) == NotIssuedReason::kOutstanding);
      const auto lost = issuer.Step(OrderLost{order.token}, start + seconds(3));
      CHECK(std::get<OrderConcluded>(lost.at(0)).result.outcome ==
            OrderOutcome::kUnknown);
      CHECK(std::get<SendOrder>(issue(start + seconds(3))).order.token ==
            OrderToken{3, 2});
    }
    SUBCASE(
        "treats a stale-token refusal as unknown: it may be of a duplicate") {
      const OrderResult stale{OrderOutcome::kRefused,
                              OrderRefusal::kStaleToken};
      const auto answered =
          issuer.Step(OrderAnswered{order.token, stale}, start + seconds(3));
      CHECK(std::get<OrderConcluded>(answered.at(0)).result.outcome ==
            OrderOutcome::kUnknown);
      CHECK_FALSE(issuer.Settled(start + seconds(3)));
    }
    SUBCASE("is settled once each order is answered or expired") {
      issuer.Step(StopIssuing{}, start + seconds(3));
      CHECK(reason(start + seconds(3)) == NotIssuedReason::kStopping);
      issuer.Step(OrderLost{order.token}, start + seconds(3));
      CHECK_FALSE(issuer.Settled(start + seconds(11)));
      CHECK(issuer.Settled(start + seconds(12)));
    }
    SUBCASE("times out an order that is never answered") {
      CHECK(issuer.Step(IssuerTick{}, start + seconds(200)).size() == 1);
      CHECK_FALSE(issuer.IsOutstanding(agent));
    }
  }
}

TEST_CASE("OrderIssuer with gates that no successor has contacted") {
  CHECK(rc::check("only orders of the current holder run, one at a time", [] {
    model::RandomChoices choices = model::RandomChoices::Draw();
    AgentSimulation agents(choices);
    agents.Run(200);
    RC_CLASSIFY(agents.simulation.takeovers > 1 && agents.runs > 10);
  }));
}

}  // namespace carawayvalve::core
