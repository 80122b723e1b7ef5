#include "crash_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "crash_state_format.h"

namespace carawayvalve::gateway {

namespace {

constexpr char kCrashKind[] = "carawayvalve-crashes";
constexpr char kCrashName[] = "crashes";

}  // namespace

void CrashStore::Step() {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  const auto call = state.crash_state.Step(
      state.poison_requests,
      {state.recent_state.IsWriter(now), state.store_era}, now);
  if (call.has_value()) {
    std::visit([&](const auto& kind) { this->Perform(kind); }, *call);
  }
}

void CrashStore::Perform(const core::ReadCrashState& /*call*/) {
  this->call = this->objects.Read(
      kCrashKind, kCrashName,
      [this](const platform::ReadResult& result) { this->OnRead(result); });
}

void CrashStore::Perform(const core::StoreCrashState& call) {
  const nlohmann::json value = PrintCrashState(
      {this->context.state.wall_clock.At(base::Now()), call.state});
  const auto done = [this, crashes = call.state.crashes.size()](
                        const platform::WriteResult& result) {
    this->OnStored(result, crashes);
  };
  this->call = call.revision.has_value()
                   ? this->objects.Replace(kCrashKind, kCrashName,
                                           call.revision, value, done)
                   : this->objects.Create(kCrashKind, kCrashName, value, done);
}

void CrashStore::OnRead(const platform::ReadResult& result) {
  core::CrashStateSchedule& schedule = this->context.state.crash_state;
  if (const auto* object = std::get_if<platform::StoredObject>(&result)) {
    this->Merge(*object);
  } else if (std::holds_alternative<platform::ObjectNotFound>(result)) {
    schedule.NoteRead({}, std::nullopt);
  } else {
    this->OnFailed("read_failed");
    return;
  }
  this->context.metrics.CountCrashState("read");
}

void CrashStore::Merge(const platform::StoredObject& object) {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  const WrittenCrashState stored =
      ParseCrashState(*object.value).value_or(WrittenCrashState{});
  const base::Duration age =
      std::max(state.wall_clock.At(now) - stored.written, base::Duration(0));
  state.poison_requests.Merge(stored.state, age, now);
  state.crash_state.NoteRead(stored.state, object.revision);
  this->context.LogPoisonParts();
  this->context.journal.Write(
      base::LogLevel::kInfo, "crash_state_read",
      {{"crashes", static_cast<int64_t>(stored.state.crashes.size())},
       {"parts", static_cast<int64_t>(stored.state.blamed.size())},
       {"age_ms", base::ToMilliseconds(age)}});
}

void CrashStore::OnStored(const platform::WriteResult& result, size_t crashes) {
  core::CrashStateSchedule& schedule = this->context.state.crash_state;
  if (const auto* object = std::get_if<platform::StoredObject>(&result)) {
    schedule.NoteStored(object->revision, base::Now());
    this->context.metrics.CountCrashState("stored");
    this->context.journal.Write(base::LogLevel::kInfo, "crash_state_stored",
                                {{"crashes", static_cast<int64_t>(crashes)}});
  } else if (std::holds_alternative<platform::WriteConflict>(result) ||
             std::holds_alternative<platform::ObjectNotFound>(result)) {
    schedule.NoteConflict();
    this->context.metrics.CountCrashState("conflict");
  } else {
    this->OnFailed("store_failed");
  }
}

void CrashStore::OnFailed(const char* outcome) {
  this->context.state.crash_state.NoteFailed(base::Now());
  this->context.metrics.CountCrashState(outcome);
  this->context.journal.Write(base::LogLevel::kWarning, "crash_state_unknown",
                              {{"outcome", outcome}});
}

}  // namespace carawayvalve::gateway
