#include "carawayvalve/core/silence_detector.h"

#include <algorithm>

namespace carawayvalve::core {

SilenceDetector::Ticket SilenceDetector::NoteSent(
    const base::BackendServerId& id,
    base::Duration timeout,
    base::Instant now) {
  const Ticket ticket = ++this->last_ticket;
  this->servers[id].pending[ticket] = {now, timeout};
  return ticket;
}

void SilenceDetector::SetTimeout(const base::BackendServerId& id,
                                 Ticket ticket,
                                 base::Duration timeout) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  const auto pending = server->second.pending.find(ticket);
  if (pending != server->second.pending.end()) {
    pending->second.timeout = timeout;
  }
}

void SilenceDetector::NoteReceived(const base::BackendServerId& id,
                                   base::Instant now) {
  const auto server = this->servers.find(id);
  if (server != this->servers.end()) {
    server->second.last_received = now;
  }
}

void SilenceDetector::NoteEnded(const base::BackendServerId& id,
                                Ticket ticket) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  server->second.pending.erase(ticket);
  if (server->second.pending.empty()) {
    this->servers.erase(server);
  }
}

bool SilenceDetector::IsSilent(const base::BackendServerId& id,
                               base::Instant now) const {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return false;
  }
  const auto& pending = server->second.pending;
  return std::any_of(pending.begin(), pending.end(), [&](const auto& item) {
    const base::Instant since =
        std::max(item.second.sent_at, server->second.last_received);
    return now - since > item.second.timeout;
  });
}

}  // namespace carawayvalve::core
