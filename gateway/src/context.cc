#include "context.h"

#include <cmath>

#include "carawayvalve/core/entry_name.h"

namespace carawayvalve::gateway {

namespace {

// The minimum interval between two logged estimates of a service's speeds.
constexpr std::chrono::seconds kSpeedLogInterval(5);
// A backend server that takes longer to accept a connection isn't known to have
// crashed.
constexpr base::Milliseconds kProbeTimeout(400);
constexpr base::Milliseconds kProbeInterval(500);
// Datagrams may be lost, so that the origin of a stream is sent in two.
constexpr int64_t kMessagesOfOrigin = 2;
// Further origins aren't told: the gossip is behind by seconds.
constexpr size_t kMaxUntoldOrigins = 4096;
// More than one message tells.
constexpr size_t kMaxUntoldSpeeds = 64;

std::string Join(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ",") + text;
  }
  return joined;
}

}  // namespace

void Context::NoteUnreadable(const std::string& kind,
                             const platform::StoredObject& object) {
  if (!this->state.unreadable_entries.Note(kind, object.name)) {
    return;
  }
  this->metrics.CountUnreadable(kind, "value");
  this->journal.Write(base::LogLevel::kWarning, "stored_value_unreadable",
                      {{"kind", kind},
                       {"name", core::PrintableName(object.name)},
                       {"revision", object.revision},
                       {"reason", object.fault}});
}

void Context::NoteOddEntry(const char* event,
                           const std::string& kind,
                           const std::string& name,
                           const std::string& reason) {
  if (!this->state.unreadable_entries.Note(kind, name)) {
    return;
  }
  this->metrics.CountUnreadable(kind, "entry");
  this->journal.Write(base::LogLevel::kWarning, event,
                      {{"kind", kind},
                       {"name", core::PrintableName(name)},
                       {"reason", reason}});
}

void Context::NoteBackendRequest(const base::BackendServerId& id,
                                 const char* kind) {
  this->state.rate_limits.NoteSent(id, base::Now());
  this->metrics.CountBackendRequest(kind);
}

void Context::NoteSkippedAnswer(const core::BackendEntry& backend,
                                const char* kind,
                                const base::RequestId& request,
                                int64_t connection,
                                const net::CallSkipped& skipped) {
  this->metrics.CountSkippedAnswer(kind);
  this->journal.Write(base::LogLevel::kInfo, "answer_skipped",
                      {{"request", request.value},
                       {"kind", kind},
                       {"backend", backend.id.value},
                       {"address", base::PrintAddress(backend.address)},
                       {"connection", connection},
                       {"status", skipped.status},
                       {"answers_request", skipped.echo}});
}

void Context::NoteStoreEra(int64_t era, const std::string& source) {
  const int64_t before = this->state.store_era;
  if (era <= before || era > core::kMaxStoreEra) {
    return;
  }
  this->state.store_era = era;
  this->journal.Write(
      before == 0 ? base::LogLevel::kInfo : base::LogLevel::kWarning,
      before == 0 ? "store_era_known" : "store_came_back_older",
      {{"era", era}, {"before", before}, {"source", source}});
  this->on_store_era(era);
}

void Context::NoteBackendRate(const core::BackendRateStatement& statement,
                              const std::string& source) {
  core::BackendRateLimits& limits = this->state.rate_limits;
  if (!limits.NoteStatement(statement, base::Now())) {
    return;
  }
  const auto* limit = std::get_if<core::RateLimit>(&statement.statement);
  this->journal.Write(
      base::LogLevel::kInfo,
      limit == nullptr ? "backend_limit_withdrawn" : "backend_limits_rate",
      {{"backend", statement.id.value},
       {"per_second",
        limit == nullptr ? "" : std::to_string(limit->per_second)},
       {"own_share", std::to_string(limits.ShareOf(statement.id).value_or(0))},
       {"source", source},
       {"age_ms", base::ToMilliseconds(base::Now() - statement.stated)}});
  if (!statement.from_peer) {
    this->on_urgent_news();
  }
}

platform::BackendHead Context::NoteBackendHead(
    const core::BackendEntry& backend,
    const net::ResponseHead& head,
    base::Instant sent) {
  platform::BackendHead decoded = platform::DecodeBackendHead(head);
  const base::Instant now = base::Now();
  if (decoded.wait.has_value()) {
    this->state.health.NoteAskedToWait(backend.id, now + *decoded.wait);
    this->journal.Write(base::LogLevel::kInfo, "backend_asks_to_wait",
                        {{"backend", backend.id.value},
                         {"wait_ms", base::ToMilliseconds(*decoded.wait)}});
  }
  if (this->state.settings.features.contention) {
    this->state.reported_load.NoteStatement(backend.id, decoded.load, now);
  }
  if (decoded.rate.has_value()) {
    this->NoteBackendRate(
        {backend.id, backend.started_ms, *decoded.rate, now, sent, false},
        "answer");
  }
  if (decoded.leaving &&
      this->state.directory.NoteLeaving(backend.id, backend.started_ms, now)) {
    this->journal.Write(base::LogLevel::kInfo, "backend_leaves",
                        {{"backend", backend.id.value}, {"source", "answer"}});
    this->on_urgent_news();
  }
  return decoded;
}

void Context::NoteStream(const core::StreamOrigin& origin,
                         const base::ServiceId& service,
                         base::Duration horizon) {
  const base::Instant now = base::Now();
  this->state.stream_origins.Note(origin, now);
  if (this->state.untold_origins.size() < kMaxUntoldOrigins) {
    this->state.untold_origins.push_back({origin, now, kMessagesOfOrigin});
  }
  if (this->state.directory.version_history().MayHaveSeveral(service, horizon,
                                                             now)) {
    this->state.recent_state.NoteOrigin(origin, now);
  }
}

void Context::NoteBackendCrash(const base::BackendServerId& id,
                               const char* sign) {
  const auto running = this->state.NoteBackendCrash(id, base::Now());
  for (const core::BrokenRequest& request : running) {
    this->journal.Write(base::LogLevel::kInfo, "ran_during_crash",
                        {{"request", request.id.value},
                         {"backend", id.value},
                         {"sign", sign},
                         {"events", request.events},
                         {"parts", Join(request.content.parts)}});
  }
  if (!running.empty()) {
    this->LogPoisonParts();
    this->on_urgent_news();
  }
}

void Context::ProbeBackend(const core::BackendEntry& backend) {
  const base::Instant now = base::Now();
  std::erase_if(this->state.probed, [&](const auto& probe) {
    return now - probe.second >= kProbeInterval;
  });
  if (!this->state.probed.emplace(backend.id, now).second) {
    return;
  }
  this->backends.Connect(backend.address, kProbeTimeout,
                         [this, id = backend.id](net::ConnectResult result) {
                           if (result == net::ConnectResult::kRefused) {
                             this->state.health.NoteUnreachable(id,
                                                                base::Now());
                             this->NoteBackendCrash(id, "refused");
                           }
                         });
}

void Context::LogPoisonParts() {
  const auto& poison = this->state.poison_requests.poison_parts(base::Now());
  std::set<std::string>& logged = this->state.logged_poison_parts;
  for (const auto& [part, evidence] : poison) {
    if (logged.insert(part).second) {
      this->journal.Write(base::LogLevel::kWarning, "part_quarantined",
                          {{"part", part}, {"crashes", evidence.crashes}});
    }
  }
  std::erase_if(logged, [&](const std::string& part) {
    if (poison.contains(part)) {
      return false;
    }
    this->journal.Write(base::LogLevel::kInfo, "part_released",
                        {{"part", part}});
    return true;
  });
}

void Context::NoteSpeed(const core::BackendEntry& backend,
                        const core::SpeedObservation& observed) {
  if (this->state.speeds.IsYoung(backend.service, observed) &&
      this->state.untold_speeds.size() < kMaxUntoldSpeeds) {
    this->state.untold_speeds.push_back(
        {backend.id, backend.started_ms, observed});
  }
  if (this->state.speeds.Note(backend.service, observed)) {
    this->UseSpeeds(backend.service, "observations");
  }
}

void Context::UseSpeeds(const base::ServiceId& service, const char* source) {
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
       {"source", source},
       {"prefill_tokens_per_ms", std::llround(speeds.prefill_tokens_per_ms)},
       {"prefill_base_ms", base::ToMilliseconds(speeds.prefill_base)},
       {"first_event_ms", base::ToMilliseconds(speeds.first_event)},
       {"plain_request_ms", base::ToMilliseconds(speeds.plain_request)},
       {"slot_ms", base::ToMilliseconds(speeds.slot_time)}});
}

}  // namespace carawayvalve::gateway
