#include "context.h"

#include <cmath>

namespace carawayvalve::gateway {

namespace {

// The minimum interval between two logged estimates of a service's speeds.
constexpr std::chrono::seconds kSpeedLogInterval(5);

}  // namespace

platform::BackendHead Context::NoteBackendHead(
    const core::BackendEntry& backend,
    const net::ResponseHead& head) {
  platform::BackendHead decoded = platform::DecodeBackendHead(head);
  const base::Instant now = base::Now();
  if (decoded.wait.has_value()) {
    this->state.health.NoteAskedToWait(backend.id, now + *decoded.wait);
    this->journal.Write(base::LogLevel::kInfo, "backend_asks_to_wait",
                        {{"backend", backend.id.value},
                         {"wait_ms", base::ToMilliseconds(*decoded.wait)}});
  }
  if (decoded.leaving &&
      this->state.directory.NoteLeaving(backend.id, backend.started_ms, now)) {
    this->journal.Write(base::LogLevel::kInfo, "backend_leaves",
                        {{"backend", backend.id.value}, {"source", "answer"}});
    this->on_backend_leaving();
  }
  return decoded;
}

void Context::NoteBackendCrash(const base::BackendServerId& id,
                               const char* sign) {
  for (const core::BrokenRequest& request :
       this->state.NoteBackendCrash(id, base::Now())) {
    std::string parts;
    for (const std::string& part : request.parts) {
      parts += (parts.empty() ? "" : ",") + part;
    }
    this->journal.Write(base::LogLevel::kInfo, "ran_during_crash",
                        {{"request", request.id.value},
                         {"backend", id.value},
                         {"sign", sign},
                         {"events", request.events},
                         {"parts", parts}});
  }
}

void Context::NoteSpeed(const base::ServiceId& service,
                        const core::SpeedObservation& observed) {
  if (!this->state.speeds.Note(service, observed)) {
    return;
  }
  const core::EngineSpeeds& speeds = this->state.speeds.SpeedsOf(service);
  this->state.placer.SetSpeeds(service, speeds);
  const base::Instant now = base::Now();
  base::Instant& logged = this->state.speeds_logged[service];
  if (now - logged < kSpeedLogInterval) {
    return;
  }
  logged = now;
  this->journal.Write(
      base::LogLevel::kInfo, "speeds_estimated",
      {{"service", service.value},
       {"prefill_tokens_per_ms", std::llround(speeds.prefill_tokens_per_ms)},
       {"prefill_base_ms", base::ToMilliseconds(speeds.prefill_base)},
       {"first_event_ms", base::ToMilliseconds(speeds.first_event)},
       {"plain_request_ms", base::ToMilliseconds(speeds.plain_request)},
       {"slot_ms", base::ToMilliseconds(speeds.slot_time)}});
}

}  // namespace carawayvalve::gateway
