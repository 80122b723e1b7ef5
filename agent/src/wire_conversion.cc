#include "wire_conversion.h"

#include "carawayvalve/base/error.h"
#include "carawayvalve/config/engine_role.h"

namespace carawayvalve::agent {

namespace {

PlainJob FromWire(const wire::gen::PlainCall& call) {
  PlainJob job;
  job.method = call.method;
  job.target = call.target;
  for (const wire::gen::Header& header : call.headers) {
    job.headers.emplace_back(header.name, header.value);
  }
  job.body = call.body;
  return job;
}

ModelJob FromWire(const std::string& attempt,
                  const wire::gen::ModelCall& call) {
  return {systems::Generation{.id = attempt,
                              .model = call.model,
                              .prompt = call.prompt,
                              .max_tokens = call.max_tokens,
                              .text_so_far = call.text_so_far,
                              .tokens_so_far = call.tokens_so_far,
                              .priority = call.priority}};
}

wire::gen::AttemptPhase::type ToWire(core::AttemptPhase phase) {
  switch (phase) {
    case core::AttemptPhase::kQueued:
      return wire::gen::AttemptPhase::QUEUED;
    case core::AttemptPhase::kRunning:
      return wire::gen::AttemptPhase::RUNNING;
    case core::AttemptPhase::kFinished:
      return wire::gen::AttemptPhase::FINISHED;
    case core::AttemptPhase::kNotRun:
      return wire::gen::AttemptPhase::NOT_RUN;
    case core::AttemptPhase::kUnknown:
      return wire::gen::AttemptPhase::UNKNOWN;
  }
  return wire::gen::AttemptPhase::UNKNOWN;
}

wire::gen::AttemptOutcome::type ToWire(core::AttemptOutcome outcome) {
  switch (outcome) {
    case core::AttemptOutcome::kNone:
      return wire::gen::AttemptOutcome::NONE;
    case core::AttemptOutcome::kAnswered:
      return wire::gen::AttemptOutcome::ANSWERED;
    case core::AttemptOutcome::kUnknown:
      return wire::gen::AttemptOutcome::UNKNOWN_OUTCOME;
    case core::AttemptOutcome::kBrokenOff:
      return wire::gen::AttemptOutcome::BROKEN_OFF;
    case core::AttemptOutcome::kCancelled:
      return wire::gen::AttemptOutcome::CANCELLED;
  }
  return wire::gen::AttemptOutcome::UNKNOWN_OUTCOME;
}

}  // namespace

Job FromWire(const wire::gen::Submission& submission, base::Instant now) {
  Job job;
  job.attempt = {submission.attempt};
  job.request = {submission.request};
  job.entry_boot = {submission.entry_boot};
  job.client_account = {submission.client_account};
  job.deadline = now + base::Milliseconds(submission.remaining_ms);
  job.content_digest = submission.content_digest;
  job.known_deaths = submission.known_deaths;
  job.cost_tokens = submission.cost_tokens;
  if (submission.__isset.model) {
    job.call = FromWire(submission.attempt, submission.model);
  } else if (submission.__isset.plain) {
    job.call = FromWire(submission.plain);
  } else {
    throw base::Error("read submission", submission.entry_boot,
                      "it carries no call");
  }
  return job;
}

core::StampedOrder FromWire(const wire::gen::Order& order) {
  core::StampedOrder stamped;
  stamped.duty = order.duty;
  stamped.token = {order.epoch, order.sequence};
  stamped.agent_boot = {order.agent_boot};
  stamped.stamp = base::Instant(std::chrono::microseconds(order.stamp_us));
  stamped.term = base::Milliseconds(order.term_ms);
  stamped.change.role = config::FindEngineRole(order.role);
  stamped.change.model = {order.model};
  stamped.change.version = order.version;
  return stamped;
}

wire::gen::OrderOutcome::type ToWire(const core::OrderResult& result) {
  switch (result.outcome) {
    case core::OrderOutcome::kRefused:
      return result.refusal == core::OrderRefusal::kNotIdle
                 ? wire::gen::OrderOutcome::DRAINING
                 : wire::gen::OrderOutcome::REFUSED;
    case core::OrderOutcome::kDone:
      return wire::gen::OrderOutcome::DONE;
    case core::OrderOutcome::kEngineRefused:
      return wire::gen::OrderOutcome::ENGINE_REFUSED;
    case core::OrderOutcome::kUnknown:
      return wire::gen::OrderOutcome::UNKNOWN_EFFECT;
  }
  return wire::gen::OrderOutcome::UNKNOWN_EFFECT;
}

wire::gen::UsageCounter ToWire(const core::UsageCounter& counter) {
  wire::gen::UsageCounter converted;
  converted.client_account = counter.client_account.value;
  converted.window = counter.window;
  converted.requests = counter.figures.requests;
  converted.prompt_tokens = counter.figures.prompt_tokens;
  converted.output_tokens = counter.figures.output_tokens;
  return converted;
}

wire::gen::Chunk ToWire(const base::AttemptId& attempt,
                        const core::AttemptView& view) {
  wire::gen::Chunk chunk;
  chunk.attempt = attempt.value;
  chunk.offset = view.offset;
  chunk.bytes = view.bytes;
  chunk.phase = ToWire(view.phase);
  chunk.outcome = ToWire(view.outcome);
  chunk.reason = view.reason;
  chunk.last = view.last;
  return chunk;
}

}  // namespace carawayvalve::agent
