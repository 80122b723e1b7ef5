#ifndef CARAWAYVALVE_CORE_EVEN_DRAWS_H_
#define CARAWAYVALVE_CORE_EVEN_DRAWS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// The draws by which a process chooses among servers that are about equally
// good (ChooseCandidate), spread evenly over its own requests and, without any
// message, over those of all processes.
//
// Each process draws within its slice of [0, 1). The slices of the live
// processes tile it, and all move on at the same times, so that each server is
// chosen by one process after another. Within its slice a process follows a
// sequence that leaves no large gaps. Where processes differ about who is alive
// or about the time, slices overlap or leave gaps until they agree; draws are
// then no worse than independent ones.
class EvenDraws {
 public:
  // How long a slice stays where it is.
  static constexpr base::Milliseconds kPeriod{250};

  // Sets which processes draw, each listed once. A process that isn't among
  // them draws from all of [0, 1).
  void SetProcesses(const base::HostId& self,
                    const std::vector<base::HostId>& hosts);

  // Returns the draw, from 0 to 1, of the next request for the service;
  // `wall_clock` is the time since 1970.
  double Next(const base::ServiceId& service, base::Duration wall_clock) const;
  // Returns the same, and takes it.
  double Take(const base::ServiceId& service, base::Duration wall_clock);

 private:
  size_t rank = 0;
  size_t processes = 1;
  // Draws taken for each service.
  std::map<base::ServiceId, uint64_t> taken;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_EVEN_DRAWS_H_
