#include "live_requests.h"

#include "request_handler.h"

namespace carawayvalve::gateway {

void LiveRequests::Add(const std::shared_ptr<RequestHandler>& request) {
  this->requests[request.get()] = request;
}

void LiveRequests::Remove(const RequestHandler* request) {
  this->requests.erase(request);
}

void LiveRequests::NoteStop() const {
  // Copied because requests end.
  const auto noted = this->requests;
  for (const auto& [key, weak] : noted) {
    if (const auto request = weak.lock()) {
      request->OnStop();
    }
  }
}

std::map<std::string, int64_t> LiveRequests::CountByPhase() const {
  std::map<std::string, int64_t> counts;
  for (const auto& [key, weak] : this->requests) {
    if (const auto request = weak.lock()) {
      ++counts[request->PhaseName()];
    }
  }
  return counts;
}

}  // namespace carawayvalve::gateway
