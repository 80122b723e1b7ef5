#include "carawayvalve/core/silence_detector.h"

#include <algorithm>

namespace carawayvalve::core {

SilenceDetector::Ticket SilenceDetector::NoteSent(const base::BackendServerId& id,
                                            base::Duration timeout,
                                            base::Instant now) {
  const Ticket ticket = ++this->last_ticket;
  this->servers[id].waiting[ticket] = {now, timeout};
  return ticket;
}

void SilenceDetector::SetTimeout(const base::BackendServerId& id,
                               Ticket ticket,
                               base::Duration timeout) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  const auto waiting = server->second.waiting.find(ticket);
  if (waiting != server->second.waiting.end()) {
    waiting->second.timeout = timeout;
  }
}

void SilenceDetector::NoteReceived(const base::BackendServerId& id,
                             base::Instant now) {
  const auto server = this->servers.find(id);
  if (server != this->servers.end()) {
    server->second.heard = now;
  }
}

void SilenceDetector::NoteEnded(const base::BackendServerId& id, Ticket ticket) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  server->second.waiting.erase(ticket);
  if (server->second.waiting.empty()) {
    this->servers.erase(server);
  }
}

bool SilenceDetector::IsSilent(const base::BackendServerId& id,
                          base::Instant now) const {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return false;
  }
  const auto& waiting = server->second.waiting;
  return std::any_of(waiting.begin(), waiting.end(), [&](const auto& item) {
    const base::Instant since =
        std::max(item.second.since, server->second.heard);
    return now - since > item.second.timeout;
  });
}

}  // namespace carawayvalve::core
