#ifndef CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_
#define CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_

#include <cstdint>
#include <string>

namespace carawayvalve::systems {

// Adapter to what a plain service tells of itself; its calls go through
// HttpStream as callers made them.
class PlainService {
 public:
  explicit PlainService(std::string address);

  // Throws base::Error when the service gives no answer.
  int64_t RunningRequests() const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_
