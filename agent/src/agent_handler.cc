#include "agent_handler.h"

#include <algorithm>

#include "carawayvalve/base/error.h"
#include "wire_conversion.h"

namespace carawayvalve::agent {

namespace {

// Limits the wait that a caller may request, so that a stop isn't delayed for
// longer.
constexpr int64_t kMaxWaitMs = 2000;
constexpr base::Milliseconds kMinLoadUpdateInterval{1000};

base::Milliseconds BoundedWait(int64_t wait_ms) {
  return base::Milliseconds(std::clamp<int64_t>(wait_ms, 0, kMaxWaitMs));
}

int64_t ClockMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             base::Now().time_since_epoch())
      .count();
}

base::Instant InstantOf(int64_t clock_us) {
  return base::Instant(std::chrono::microseconds(clock_us));
}

}  // namespace

AgentHandler::AgentHandler(const AgentSettings& settings,
                           const base::BootId& boot,
                           AttemptService& attempts,
                           OrderService& orders,
                           UsageCounters& counters)
    : settings(settings),
      boot(boot),
      attempts(attempts),
      orders(orders),
      counters(counters),
      log("orders") {}

void AgentHandler::submit(wire::gen::SubmitAnswer& answer,
                          const wire::gen::Submission& submission) {
  const int64_t age_us = ClockMicroseconds() - submission.agent_clock_us;
  SubmitResult result;
  if (submission.agent_boot != this->boot.value) {
    result.reason = "the agent has restarted";
  } else if (age_us > this->settings.attempt_retention_ms * 1000 / 2) {
    result.reason = "the submission was under way for too long";
  } else {
    result = this->attempts.Submit(FromWire(submission, base::Now()));
  }
  answer.accepted = result.accepted;
  answer.reason = result.reason;
  answer.retry_after_ms = result.retry_after.count();
}

void AgentHandler::read(std::vector<wire::gen::Chunk>& answer,
                        const std::string& entry_boot,
                        const std::vector<wire::gen::ReadRequest>& requests,
                        int64_t wait_ms) {
  std::vector<ReadPosition> positions;
  positions.reserve(requests.size());
  for (const wire::gen::ReadRequest& request : requests) {
    positions.push_back(
        {{request.attempt},
         request.offset,
         static_cast<size_t>(std::max<int64_t>(request.most_bytes, 0))});
  }
  for (const AttemptUpdate& update :
       this->attempts.Read({entry_boot}, positions, BoundedWait(wait_ms))) {
    answer.push_back(ToWire(update.attempt, update.view));
    answer.back().death_id = update.death_id;
  }
}

void AgentHandler::abandon(wire::gen::Chunk& answer,
                           const std::string& attempt,
                           const std::string& agent_boot,
                           int64_t agent_clock_us) {
  if (agent_boot != this->boot.value) {
    answer = ToWire({attempt}, core::AttemptView());
    return;
  }
  answer = ToWire({attempt},
                  this->attempts.Abandon({attempt}, InstantOf(agent_clock_us)));
}

void AgentHandler::cancel(const std::string& attempt) {
  this->attempts.Cancel({attempt});
}

// Queries the attempt service before taking the lock: the service calls
// NoteCrash with its own lock held, so the opposite order could deadlock.
wire::gen::AgentStatus AgentHandler::CurrentStatus() {
  const int64_t queued = this->attempts.queued();
  const int64_t running = this->attempts.running();
  const std::vector<AttemptCrash> crashes = this->attempts.RecentCrashes();
  const std::optional<double> rate_limit = this->attempts.rate_limit();
  const core::OrderToken highest = this->orders.highest();
  const bool draining = this->orders.draining();
  const std::lock_guard lock(this->mutex);
  wire::gen::AgentStatus status;
  status.agent_boot = this->boot.value;
  status.backend_server = this->settings.backend_server.value;
  status.service_name = this->settings.service.value;
  status.leaving = this->leaving;
  status.ready = this->ready && !this->requests_held;
  status.draining = draining;
  status.queued = queued;
  status.running = running;
  status.slots = this->settings.slots;
  status.generation = this->generation;
  status.load.queued_prefill_tokens = this->load.queued_prefill_tokens;
  status.load.running_requests = this->load.running_requests;
  status.load.prefill_tokens_per_second = this->load.prefill_tokens_per_second;
  status.load.decode_tokens_per_second = this->load.decode_tokens_per_second;
  status.load.role = this->load.role;
  status.load.models = this->load.models;
  status.load.__set_software_version(this->load.software_version);
  if (rate_limit.has_value()) {
    status.__set_requests_per_second(*rate_limit);
  }
  status.revision = this->revision;
  status.clock_us = ClockMicroseconds();
  status.highest_epoch = highest.epoch;
  status.highest_sequence = highest.sequence;
  for (const AttemptCrash& crash : crashes) {
    wire::gen::DeathMark mark;
    mark.content_digest = crash.content_digest;
    mark.deaths = 1;
    mark.age_ms = base::ToMilliseconds(base::Now() - crash.at);
    mark.death_id = crash.death_id;
    status.deaths.push_back(mark);
  }
  return status;
}

void AgentHandler::status(wire::gen::AgentStatus& answer,
                          int64_t known_revision,
                          int64_t wait_ms) {
  {
    std::unique_lock lock(this->mutex);
    this->status_changed.wait_for(lock, BoundedWait(wait_ms), [&] {
      return this->closed || this->revision > known_revision;
    });
  }
  answer = this->CurrentStatus();
}

void AgentHandler::cache_events(wire::gen::CacheEvents& answer,
                                int64_t from_event) {
  answer.next_event = from_event;
  if (this->settings.backend_kind != BackendKind::kModel) {
    return;
  }
  try {
    const systems::Engine engine(this->settings.backend_address);
    const systems::CacheEvents events = engine.ReadCacheEvents(from_event);
    answer.next_event = events.next;
    answer.gap = events.gap;
    answer.added = events.added;
    answer.dropped = events.dropped;
  } catch (const base::Error&) {
    // Cache events are only hints; the next call asks for the same ones.
  }
}

void AgentHandler::configure(
    const wire::gen::AgentConfiguration& configuration) {
  std::unique_lock lock(this->mutex);
  if (configuration.generation <= this->generation) {
    return;
  }
  this->generation = configuration.generation;
  std::map<base::ClientAccountId, int32_t> weights;
  for (const auto& [account, weight] : configuration.account_weights) {
    weights[{account}] = weight;
  }
  lock.unlock();
  this->attempts.SetAccountLimits(weights,
                                  configuration.max_queued_per_account);
}

void AgentHandler::order(wire::gen::OrderAnswer& answer,
                         const wire::gen::Order& order) {
  const core::OrderResult result = this->orders.Order(FromWire(order));
  answer.outcome = ToWire(result);
  if (result.outcome == core::OrderOutcome::kRefused) {
    answer.reason = core::OrderRefusalText(result.refusal);
  }
  // DRAINING isn't logged: the order is repeated until the engine is idle.
  if (answer.outcome == wire::gen::OrderOutcome::REFUSED) {
    this->log.Info("Refused an order: " + answer.reason + ".",
                   {.peer = order.duty, .step = "order"});
  }
}

void AgentHandler::usage(wire::gen::UsageCounters& answer,
                         int64_t since_window,
                         int64_t open_window) {
  answer.agent_boot = this->boot.value;
  answer.backend_server = this->settings.backend_server.value;
  for (const core::UsageCounter& counter :
       this->counters.Collect(since_window, open_window)) {
    answer.counters.push_back(ToWire(counter));
  }
}

void AgentHandler::NoteCrash() {
  const std::lock_guard lock(this->mutex);
  this->revision += 1;
  this->status_changed.notify_all();
}

void AgentHandler::NoteRateChange() {
  this->log.Info("The backend server has changed the rate that it takes.");
  const std::lock_guard lock(this->mutex);
  this->revision += 1;
  this->status_changed.notify_all();
}

void AgentHandler::Leave() {
  const std::lock_guard lock(this->mutex);
  this->leaving = true;
  this->revision += 1;
  this->status_changed.notify_all();
}

void AgentHandler::SetRequestsHeld(bool requests_held) {
  const std::lock_guard lock(this->mutex);
  this->requests_held = requests_held;
  this->revision += 1;
  this->status_changed.notify_all();
}

// A changed load is published at most once a second.
bool AgentHandler::ShouldPublishLoad(const systems::EngineLoad& load) {
  const base::Instant now = base::Now();
  if (load == this->load ||
      now - this->load_published_at < kMinLoadUpdateInterval) {
    return false;
  }
  this->load_published_at = now;
  return true;
}

void AgentHandler::SetLoad(const systems::EngineLoad& load, bool ready) {
  const std::lock_guard lock(this->mutex);
  const bool publish = ready != this->ready || load.role != this->load.role ||
                       load.models != this->load.models ||
                       load.software_version != this->load.software_version ||
                       this->ShouldPublishLoad(load);
  const bool restarted = ready && !this->ready && this->was_ready;
  this->was_ready = this->was_ready || ready;
  this->load = load;
  this->ready = ready;
  if (restarted) {
    this->orders.NoteEngineRestart();
  }
  if (publish) {
    this->revision += 1;
    this->status_changed.notify_all();
  }
}

}  // namespace carawayvalve::agent
