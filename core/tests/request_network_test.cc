// proof 9: A caller gets the whole answer to its own request.
// proof 10: A refusal that says "not run" is true.
// proof 11: A non-idempotent request runs at most once.

#include "request_network.h"

namespace carawayvalve::core::testing {

namespace {

size_t AgentIndexOf(const base::BackendServerId& backend_server) {
  return std::stoul(backend_server.value);
}

base::BackendServerId BackendNameOf(size_t agent) {
  return {std::to_string(agent)};
}

}  // namespace

RequestNetwork::RequestNetwork(size_t agents) : agents(agents) {
  for (size_t i = 0; i < agents; ++i) {
    // All clocks differ: readings of different clocks must not be compared.
    this->agents[i].clock_offset = std::chrono::minutes(7 * i);
    this->agents[i].known_clock = this->ClockOf(this->agents[i]);
  }
}

base::Instant RequestNetwork::ClockOf(const Agent& agent) const {
  return this->now + agent.clock_offset;
}

void RequestNetwork::Step(uint8_t kind, uint8_t number) {
  this->random_byte = number;
  Agent& agent = this->agents[number % this->agents.size()];
  const size_t flow = this->flows.empty() ? 0 : number % this->flows.size();
  const bool any_message = !this->in_flight.empty();
  const size_t message = any_message ? number % this->in_flight.size() : 0;
  if (kind < 110 && any_message) {
    this->Deliver(message, false);
  } else if (kind < 118 && any_message) {
    this->Deliver(message, true);
  } else if (kind < 124 && any_message) {
    this->in_flight.erase(this->in_flight.begin() + static_cast<int>(message));
  } else if (kind < 134) {
    this->Begin(number);
  } else if (kind < 175) {
    this->Poll(flow);
  } else if (kind < 235) {
    this->RunJob(agent, number);
  } else if (kind < 237) {
    this->CrashEngine(agent);
  } else if (kind < 239) {
    this->Restart(agent);
  } else if (kind < 243) {
    this->Interrupt(flow, number);
  } else if (kind < 249 && !this->flows.empty()) {
    this->Notify(flow, SubmitUnanswered{this->flows[flow].flow->attempt()});
  } else if (kind < 251) {
    agent.known_boot = agent.boot;
    agent.known_clock = this->ClockOf(agent);
  } else if (kind < 255) {
    this->AdvanceTime(
        std::min<base::Duration>(base::Milliseconds(number), kMaxTick), true);
  } else {
    this->AdvanceTime(kRetention + kMaxTick, false);
  }
  this->Check();
}

void RequestNetwork::Begin(uint8_t number) {
  if (this->flows.size() >= kMaxFlows) {
    return;
  }
  Flow flow;
  flow.kind = static_cast<RequestKind>(number % 3);
  flow.deadline = this->now + kDeadline;
  flow.flow = std::make_unique<RequestFlow>(
      RequestOptions{.idempotent = flow.kind != RequestKind::kNonIdempotent,
                     .continuable = flow.kind == RequestKind::kContinuable,
                     .deadline = flow.deadline,
                     .settle_time = kSettleTime});
  this->flows.push_back(std::move(flow));
  this->Perform(this->flows.size() - 1,
                this->flows.back().flow->Begin(this->now));
}

void RequestNetwork::Notify(size_t flow, const RequestEvent& event) {
  const bool was_done = this->flows[flow].flow->done();
  const auto actions = this->flows[flow].flow->Step(event, this->now);
  RC_ASSERT(!was_done || actions.empty());
  this->Perform(flow, actions);
}

void RequestNetwork::Perform(size_t index,
                             const std::vector<RequestAction>& actions) {
  Flow& flow = this->flows[index];
  for (const RequestAction& action : actions) {
    RC_ASSERT(!flow.finish);
    if (const auto* choose = std::get_if<ChooseBackend>(&action)) {
      size_t agent = this->random_byte % this->agents.size();
      if (choose->excluded.contains(BackendNameOf(agent))) {
        agent = (agent + 1) % this->agents.size();
      }
      const base::AttemptId attempt{"a" + std::to_string(this->attempts++)};
      this->Notify(index, this->random_byte % 16 == 15
                              ? RequestEvent(NoBackendAvailable{"none", {}})
                              : BackendChosen{attempt, BackendNameOf(agent)});
    } else if (const auto* submit = std::get_if<SubmitAttempt>(&action)) {
      const size_t agent = AgentIndexOf(submit->backend_server);
      const SubmitMessage message{
          submit->attempt, index, this->agents[agent].known_boot,
          this->agents[agent].known_clock, submit->tokens_so_far};
      flow.submissions[submit->attempt] = message;
      this->Send(index, agent, message);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
      const SubmitMessage& message = flow.submissions.at(abandon->attempt);
      this->Send(index, AgentIndexOf(abandon->backend_server),
                 AbandonMessage{abandon->attempt, message.boot, message.clock});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->Send(index, AgentIndexOf(cancel->backend_server),
                 CancelMessage{cancel->attempt});
    } else if (const auto* record = std::get_if<DeliverRecord>(&action)) {
      flow.delivered.push_back(record->record);
    } else {
      flow.finish = std::get<FinishRequest>(action);
    }
  }
}

void RequestNetwork::Send(size_t flow, size_t agent, const AgentMessage& call) {
  this->in_flight.push_back(
      {flow, agent, this->agents[agent].boot, call, {}, false});
}

void RequestNetwork::Deliver(size_t index, bool keep) {
  const Message message = this->in_flight[index];
  if (keep) {
    this->in_flight[index].duplicated = true;
  } else {
    this->in_flight.erase(this->in_flight.begin() + static_cast<int>(index));
  }
  if (message.answer) {
    this->Notify(message.flow, *message.answer);
    return;
  }
  Agent& agent = this->agents[message.agent];
  if (message.agent_boot != agent.boot) {
    return;
  }
  Message answer = message;
  answer.answer =
      std::visit([&](const auto& call) { return this->Receive(agent, call); },
                 message.call);
  if (!message.duplicated) {
    this->in_flight.push_back(answer);
  }
}

RequestEvent RequestNetwork::Receive(Agent& agent,
                                     const SubmitMessage& message) {
  const base::Instant clock = this->ClockOf(agent);
  if (message.boot != agent.boot || clock - message.clock > kRetention) {
    return SubmitRefused{message.attempt, "too old", {}};
  }
  if (agent.ledger.PhaseOf(message.attempt) == AttemptPhase::kUnknown &&
      this->random_byte % 16 == 14) {
    agent.ledger.Abandon(message.attempt, clock);
  }
  if (agent.ledger.Queue(message.attempt, clock)) {
    Agent::Job job{message.flow, ""};
    for (const AnswerRecord& record :
         MakeAnswer(this->flows[message.flow].kind, message.attempt,
                    message.tokens_so_far)) {
      job.output += EncodeRecord(record);
    }
    agent.jobs[message.attempt] = job;
  }
  if (agent.ledger.PhaseOf(message.attempt) == AttemptPhase::kNotRun) {
    return SubmitRefused{message.attempt, "full", {}};
  }
  return SubmitAccepted{message.attempt};
}

RequestEvent RequestNetwork::Receive(Agent& agent,
                                     const AbandonMessage& message) {
  AttemptView view;
  if (message.boot != agent.boot) {
    return AttemptViewReceived{message.attempt, view};
  }
  view = agent.ledger.Read(message.attempt, 0, 0);
  view.phase = agent.ledger.Abandon(message.attempt, message.clock,
                                    this->ClockOf(agent));
  view.last = false;
  return AttemptViewReceived{message.attempt, view};
}

RequestEvent RequestNetwork::Receive(Agent& agent,
                                     const CancelMessage& message) {
  const base::Instant clock = this->ClockOf(agent);
  agent.ledger.Abandon(message.attempt, clock);
  agent.ledger.Finish(message.attempt, AttemptOutcome::kCancelled, "", clock);
  return RequestTick{};
}

RequestEvent RequestNetwork::Receive(Agent& agent, const ReadMessage& message) {
  return AttemptViewReceived{
      message.attempt,
      agent.ledger.Read(message.attempt, message.offset, this->random_byte)};
}

void RequestNetwork::Poll(size_t index) {
  if (this->flows.empty() || !this->flows[index].flow->reading()) {
    return;
  }
  const RequestFlow& flow = *this->flows[index].flow;
  this->Send(index, AgentIndexOf(flow.backend_server()),
             ReadMessage{flow.attempt(), flow.read_offset()});
}

void RequestNetwork::Interrupt(size_t index, uint8_t number) {
  if (this->flows.empty()) {
    return;
  }
  const base::AttemptId attempt = this->flows[index].flow->attempt();
  switch (number / 8 % 4) {
    case 0:
      this->Notify(index, CallerDisconnected{});
      break;
    case 1:
    case 2:
      this->Notify(index, PermissionWithdrawn{});
      break;
    default:
      this->Notify(index, BackendLost{attempt, "lost"});
  }
}

// Advances one attempt of the agent by one step.
void RequestNetwork::RunJob(Agent& agent, uint8_t number) {
  if (agent.jobs.empty()) {
    return;
  }
  const auto place = std::next(
      agent.jobs.begin(), number / 4 % static_cast<int>(agent.jobs.size()));
  const base::AttemptId attempt = place->first;
  Agent::Job& job = place->second;
  if (agent.ledger.Start(attempt)) {
    if (number % 16 == 13) {
      agent.ledger.MarkNotRun(attempt, "not reached", this->ClockOf(agent));
    } else {
      this->flows[job.flow].runs += 1;
    }
    return;
  }
  if (agent.ledger.PhaseOf(attempt) != AttemptPhase::kRunning) {
    agent.jobs.erase(place);
    return;
  }
  agent.ledger.Append(attempt, job.output.substr(0, number));
  job.output.erase(0, number);
  if (job.output.empty()) {
    agent.ledger.Finish(attempt, AttemptOutcome::kAnswered, "",
                        this->ClockOf(agent));
  }
}

void RequestNetwork::CrashEngine(Agent& agent) {
  for (const auto& [attempt, job] : agent.jobs) {
    agent.ledger.Finish(attempt, AttemptOutcome::kBrokenOff, "engine crashed",
                        this->ClockOf(agent));
  }
}

void RequestNetwork::Restart(Agent& agent) {
  agent.boot += 1;
  agent.ledger = AttemptLedger(kRetention);
  agent.jobs.clear();
}

void RequestNetwork::AdvanceTime(base::Duration duration, bool tick) {
  this->now += duration;
  for (Agent& agent : this->agents) {
    agent.ledger.Prune(this->ClockOf(agent));
  }
  for (size_t i = 0; i < this->flows.size(); ++i) {
    if (tick) {
      this->Notify(i, RequestTick{});
    } else {
      this->flows[i].was_paused = true;
    }
  }
}

void RequestNetwork::Settle() {
  for (int round = 0; round < 200; ++round) {
    this->AdvanceTime(kMaxTick, true);
    this->Check();
  }
  for (int round = 0; round < 400; ++round) {
    this->random_byte = 0;
    if (!this->in_flight.empty()) {
      this->Deliver(0, false);
    }
    for (Agent& agent : this->agents) {
      this->RunJob(agent, static_cast<uint8_t>(round));
    }
    this->Check();
  }
  for (const Flow& flow : this->flows) {
    RC_ASSERT(flow.finish.has_value());
  }
}

void RequestNetwork::Check() const {
  for (const Flow& flow : this->flows) {
    RC_ASSERT(flow.flow->done() == flow.finish.has_value());
    RC_ASSERT(flow.runs <= 1 || flow.kind != RequestKind::kNonIdempotent);
    if (flow.finish && !flow.finish->whole) {
      RC_ASSERT(flow.finish->failure != FailureKind::kNotRun || flow.runs == 0);
    }
    const bool due = this->now >= flow.deadline + kSettleTime + 2 * kMaxTick;
    RC_ASSERT(flow.finish || flow.was_paused || !due);

    // The head of a plain answer names its attempt.
    base::AttemptId attempt;
    if (!flow.delivered.empty()) {
      if (const auto* head = std::get_if<AnswerHead>(&flow.delivered[0])) {
        attempt.value = head->headers.at(0).second;
      }
    }
    const auto expected = MakeAnswer(flow.kind, attempt, 0);
    RC_ASSERT(flow.delivered.size() <= expected.size());
    RC_ASSERT(std::equal(flow.delivered.begin(), flow.delivered.end(),
                         expected.begin()));
    RC_ASSERT((flow.finish && flow.finish->whole) ==
              (flow.delivered.size() == expected.size()));
  }
}

}  // namespace carawayvalve::core::testing
