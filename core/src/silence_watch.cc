#include "carawayvalve/core/silence_watch.h"

#include <algorithm>

namespace carawayvalve::core {

SilenceWatch::Ticket SilenceWatch::NoteSent(const base::BackendServerId& id,
                                            base::Duration patience,
                                            base::Instant now) {
  const Ticket ticket = ++this->last_ticket;
  this->servers[id].waiting[ticket] = {now, patience};
  return ticket;
}

void SilenceWatch::SetPatience(const base::BackendServerId& id,
                               Ticket ticket,
                               base::Duration patience) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  const auto waiting = server->second.waiting.find(ticket);
  if (waiting != server->second.waiting.end()) {
    waiting->second.patience = patience;
  }
}

void SilenceWatch::NoteHeard(const base::BackendServerId& id,
                             base::Instant now) {
  const auto server = this->servers.find(id);
  if (server != this->servers.end()) {
    server->second.heard = now;
  }
}

void SilenceWatch::NoteEnded(const base::BackendServerId& id, Ticket ticket) {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return;
  }
  server->second.waiting.erase(ticket);
  if (server->second.waiting.empty()) {
    this->servers.erase(server);
  }
}

bool SilenceWatch::Silent(const base::BackendServerId& id,
                          base::Instant now) const {
  const auto server = this->servers.find(id);
  if (server == this->servers.end()) {
    return false;
  }
  const auto& waiting = server->second.waiting;
  return std::any_of(waiting.begin(), waiting.end(), [&](const auto& item) {
    const base::Instant since =
        std::max(item.second.since, server->second.heard);
    return now - since > item.second.patience;
  });
}

}  // namespace carawayvalve::core
