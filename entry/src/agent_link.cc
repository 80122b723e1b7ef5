#include "agent_link.h"

#include <algorithm>
#include <utility>

#include "Agent.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/wire/channel.h"

namespace carawayvalve::entry {

namespace {

using AgentChannel = wire::Channel<wire::gen::AgentClient>;

constexpr base::Milliseconds kCommandTimeout{1000};
// Long-poll times: an agent answers earlier when it has something to report.
constexpr base::Milliseconds kReadWait{2000};
constexpr base::Milliseconds kStatusWait{2000};
// Added to the long-poll time to give the timeout of the call.
constexpr base::Milliseconds kAnswerMargin{1000};
constexpr base::Milliseconds kReconnectDelay{50};
// Delay after a read that returned data, so that the next read carries tokens
// of several answers together.
constexpr base::Milliseconds kReadBatchDelay{1};
// How long an agent may be unreachable before its attempts are given up. One
// unanswered call isn't enough: this process may have been paused.
constexpr base::Milliseconds kUnreachableTimeout{3000};
static_assert(kStatusWait + kAnswerMargin <= kUnreachableTimeout);

core::AttemptPhase FromWire(wire::gen::AttemptPhase::type phase) {
  switch (phase) {
    case wire::gen::AttemptPhase::QUEUED:
      return core::AttemptPhase::kQueued;
    case wire::gen::AttemptPhase::RUNNING:
      return core::AttemptPhase::kRunning;
    case wire::gen::AttemptPhase::FINISHED:
      return core::AttemptPhase::kFinished;
    case wire::gen::AttemptPhase::NOT_RUN:
      return core::AttemptPhase::kNotRun;
    case wire::gen::AttemptPhase::UNKNOWN:
      return core::AttemptPhase::kUnknown;
  }
  return core::AttemptPhase::kUnknown;
}

core::AttemptOutcome FromWire(wire::gen::AttemptOutcome::type outcome) {
  switch (outcome) {
    case wire::gen::AttemptOutcome::NONE:
      return core::AttemptOutcome::kNone;
    case wire::gen::AttemptOutcome::ANSWERED:
      return core::AttemptOutcome::kAnswered;
    case wire::gen::AttemptOutcome::UNKNOWN_OUTCOME:
      return core::AttemptOutcome::kUnknown;
    case wire::gen::AttemptOutcome::BROKEN_OFF:
      return core::AttemptOutcome::kBrokenOff;
    case wire::gen::AttemptOutcome::CANCELLED:
      return core::AttemptOutcome::kCancelled;
  }
  return core::AttemptOutcome::kUnknown;
}

core::AttemptViewReceived ToEvent(const wire::gen::Chunk& chunk) {
  core::AttemptViewReceived event;
  event.attempt = {chunk.attempt};
  event.view.phase = FromWire(chunk.phase);
  event.view.outcome = FromWire(chunk.outcome);
  event.view.reason = chunk.reason;
  event.view.offset = chunk.offset;
  event.view.bytes = chunk.bytes;
  event.view.last = chunk.last;
  return event;
}

}  // namespace

// Executes one queued command.
class AgentLink::CommandExecutor {
 public:
  CommandExecutor(AgentLink& link, AgentChannel& channel)
      : link(link), channel(channel) {}

  void operator()(const wire::gen::Submission& submission) {
    const base::AttemptId attempt{submission.attempt};
    wire::gen::SubmitAnswer answer;
    try {
      this->channel.Invoke("submit", [&](wire::gen::AgentClient& client) {
        client.submit(answer, submission);
      });
    } catch (const base::NotReachedError& error) {
      this->link.events.on_event(
          attempt, core::SubmitRefused{attempt, "the agent was not reached",
                                       kReconnectDelay});
      return;
    } catch (const base::UnknownOutcomeError& error) {
      this->link.log.Warn("The agent did not answer a submission.",
                          {.attempt = attempt.value,
                           .peer = error.peer(),
                           .step = error.step()});
      this->link.events.on_event(attempt, core::SubmitUnanswered{attempt});
      return;
    }
    if (answer.accepted) {
      this->link.events.on_event(attempt, core::SubmitAccepted{attempt});
    } else {
      this->link.events.on_event(
          attempt,
          core::SubmitRefused{attempt, answer.reason,
                              base::Milliseconds(answer.retry_after_ms)});
    }
  }

  void operator()(const AbandonCommand& command) {
    wire::gen::Chunk answer;
    try {
      this->channel.Invoke("abandon", [&](wire::gen::AgentClient& client) {
        client.abandon(answer, command.attempt.value, command.agent.value,
                       command.agent_clock_us);
      });
    } catch (const base::Error&) {
      this->link.Sleep(kReconnectDelay);
      this->link.events.on_event(command.attempt,
                                 core::SubmitUnanswered{command.attempt});
      return;
    }
    this->link.events.on_event(command.attempt, ToEvent(answer));
  }

  void operator()(const CancelCommand& command) {
    this->channel.Invoke("cancel", [&](wire::gen::AgentClient& client) {
      client.cancel(command.attempt.value);
    });
  }

  void operator()(const wire::gen::AgentConfiguration& configuration) {
    this->channel.Invoke("configure", [&](wire::gen::AgentClient& client) {
      client.configure(configuration);
    });
  }

 private:
  AgentLink& link;
  AgentChannel& channel;
};

AgentLink::AgentLink(std::string address,
                     const base::BootId& entry,
                     AgentLinkEvents events)
    : address(std::move(address)),
      entry(entry),
      events(std::move(events)),
      log("agent-link") {
  this->threads.emplace_back([this] { this->RunCommands(); });
  this->threads.emplace_back([this] { this->RunReads(); });
  this->threads.emplace_back([this] { this->RunStatus(); });
}

AgentLink::~AgentLink() {
  this->Stop();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void AgentLink::Stop() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
  this->changed.notify_all();
}

void AgentLink::Submit(const wire::gen::Submission& submission) {
  this->Post(submission);
}

void AgentLink::Abandon(const base::AttemptId& attempt,
                        const base::BootId& agent,
                        int64_t agent_clock_us) {
  this->Post(AbandonCommand{attempt, agent, agent_clock_us});
}

void AgentLink::Cancel(const base::AttemptId& attempt) {
  this->Post(CancelCommand{attempt});
}

void AgentLink::Configure(const wire::gen::AgentConfiguration& configuration) {
  this->Post(configuration);
}

void AgentLink::Post(const Command& command) {
  const std::lock_guard lock(this->mutex);
  this->commands.push_back(command);
  this->changed.notify_all();
}

void AgentLink::RunCommands() {
  AgentChannel channel(this->address, kCommandTimeout);
  CommandExecutor executor(*this, channel);
  for (;;) {
    Command command;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(
          lock, [&] { return this->stopping || !this->commands.empty(); });
      if (this->stopping) {
        return;
      }
      command = std::move(this->commands.front());
      this->commands.pop_front();
    }
    try {
      std::visit(executor, command);
    } catch (const base::Error& error) {
      this->log.Debug(error.what(), {.peer = this->address});
    }
  }
}

void AgentLink::RunReads() {
  AgentChannel channel(this->address, kReadWait + kAnswerMargin);
  while (!this->stopping) {
    std::vector<wire::gen::Chunk> chunks;
    const std::vector<wire::gen::ReadRequest> read_requests =
        this->events.read_requests();
    try {
      channel.Invoke("read", [&](wire::gen::AgentClient& client) {
        client.read(chunks, this->entry.value, read_requests,
                    kReadWait.count());
      });
    } catch (const base::Error& error) {
      this->log.Debug(error.what(), {.peer = this->address});
      this->Sleep(kReconnectDelay);
      continue;
    }
    for (const wire::gen::Chunk& chunk : chunks) {
      if (chunk.death_id.empty()) {
        this->events.on_event({chunk.attempt}, ToEvent(chunk));
      } else {
        this->events.on_crash({chunk.attempt}, chunk.death_id, ToEvent(chunk));
      }
    }
    if (!chunks.empty()) {
      this->Sleep(kReadBatchDelay);
    }
  }
}

void AgentLink::RunStatus() {
  AgentChannel channel(this->address, kStatusWait + kAnswerMargin);
  // How long the agent has been unreachable, counted up to `counted_until`. A
  // pause of this process counts as one call's timeout at most.
  base::Duration unreachable_time{};
  base::Instant counted_until = base::Now();
  bool reported_lost = false;
  int64_t revision = -1;
  std::string boot;
  wire::gen::CacheEvents cache;
  while (!this->stopping) {
    wire::gen::AgentStatus status;
    // Without a known revision the agent answers at once.
    const base::Milliseconds timeout =
        revision < 0 ? kAnswerMargin : kStatusWait + kAnswerMargin;
    try {
      channel.Invoke("status", timeout, [&](wire::gen::AgentClient& client) {
        client.status(status, revision, kStatusWait.count());
      });
      // Only engines have a prefix cache.
      if (!status.load.models.empty()) {
        channel.Invoke("cache events", [&](wire::gen::AgentClient& client) {
          client.cache_events(cache, cache.next_event);
        });
      }
    } catch (const base::Error& error) {
      const base::Instant now = base::Now();
      unreachable_time +=
          std::min<base::Duration>(now - counted_until, timeout);
      counted_until = now;
      if (!reported_lost && unreachable_time > kUnreachableTimeout) {
        reported_lost = true;
        this->log.Warn("The agent is out of reach.", {.peer = this->address});
        this->events.on_lost("the backend server is out of reach");
      }
      revision = -1;
      this->Sleep(kReconnectDelay);
      continue;
    }
    if (!boot.empty() && status.agent_boot != boot) {
      this->events.on_lost("the agent has restarted");
      cache = {};
    }
    boot = status.agent_boot;
    revision = status.revision;
    unreachable_time = {};
    counted_until = base::Now();
    reported_lost = false;
    this->events.on_status(status);
    this->events.on_cache_events(cache);
  }
}

void AgentLink::Sleep(base::Milliseconds time) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, time, [&] { return this->stopping.load(); });
}

}  // namespace carawayvalve::entry
