#include "context.h"

namespace carawayvalve::gateway {

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

}  // namespace carawayvalve::gateway
