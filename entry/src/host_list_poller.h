#ifndef CARAWAYVALVE_ENTRY_SRC_HOST_LIST_POLLER_H_
#define CARAWAYVALVE_ENTRY_SRC_HOST_LIST_POLLER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "carawayvalve/base/log.h"
#include "carawayvalve/systems/host_list.h"

namespace carawayvalve::entry {

// Reads the platform's host list from time to time, on its own thread. While
// it gives no answer the last one stands.
class HostListPoller {
 public:
  using Listener = std::function<void(const std::vector<systems::Host>&)>;

  HostListPoller(const std::string& address, Listener listener);
  ~HostListPoller();

 private:
  void Run();
  // Leaves out hosts whose address can't be reached, and says so.
  std::vector<systems::Host> WithUsableAddress(
      const std::vector<systems::Host>& hosts) const;

  systems::HostList list;
  Listener listener;
  base::Log log;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_HOST_LIST_POLLER_H_
