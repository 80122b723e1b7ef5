#ifndef CARAWAYVALVE_GATEWAY_SRC_LIVE_REQUESTS_H_
#define CARAWAYVALVE_GATEWAY_SRC_LIVE_REQUESTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace carawayvalve::gateway {

class RequestHandler;

// The requests of callers that were admitted and have no final answer yet.
class LiveRequests {
 public:
  void Add(const std::shared_ptr<RequestHandler>& request);
  void Remove(const RequestHandler* request);
  // Tells all of them that the process stops, or that the load balancer has
  // noticed it.
  void NoteStop() const;
  // Returns the number of requests by where they are, such as "at_backend".
  std::map<std::string, int64_t> CountByPhase() const;

 private:
  std::map<const RequestHandler*, std::weak_ptr<RequestHandler>> requests;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_LIVE_REQUESTS_H_
