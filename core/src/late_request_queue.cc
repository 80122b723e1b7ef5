#include "carawayvalve/core/late_request_queue.h"

namespace carawayvalve::core {

namespace {

// Half of the time that the shortest objective leaves after the prefill of a
// prompt.
constexpr base::Milliseconds kMaxNegligibleWork(100);

}  // namespace

LateRequestQueue::Ticket LateRequestQueue::Add(int64_t priority,
                                               base::Instant deadline) {
  const Key key{priority, deadline, ++this->last_ticket};
  this->order[key] = key.ticket;
  this->keys[key.ticket] = key;
  return key.ticket;
}

void LateRequestQueue::Remove(Ticket ticket) {
  const auto found = this->keys.find(ticket);
  if (found != this->keys.end()) {
    this->order.erase(found->second);
    this->keys.erase(found);
  }
}

std::vector<LateRequestQueue::Ticket> LateRequestQueue::InOrder() const {
  std::vector<Ticket> tickets;
  tickets.reserve(this->order.size());
  for (const auto& [key, ticket] : this->order) {
    tickets.push_back(ticket);
  }
  return tickets;
}

bool MayServeLate(base::Duration work_ahead) {
  return work_ahead <= kMaxNegligibleWork;
}

}  // namespace carawayvalve::core
