#ifndef CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_
#define CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_

#include <cstdint>
#include <string>

namespace carawayvalve::systems {

// Adapter to a plain service's load report. Callers' requests do not pass
// through it: they are forwarded unchanged with HttpStream.
class PlainService {
 public:
  explicit PlainService(std::string address);

  // Returns the number of requests in progress. Throws base::Error when the
  // service gives no valid answer.
  int64_t RunningRequests() const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_PLAIN_SERVICE_H_
