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

// Polls the platform's host list on a separate thread and passes each answer to
// the listener. While the host list doesn't answer, the last answer stays in
// effect.
class HostListPoller {
 public:
  using Listener = std::function<void(const std::vector<systems::Host>&)>;

  HostListPoller(const std::string& address, Listener listener);
  ~HostListPoller();

 private:
  void Run();
  // Returns the hosts without those whose address can't be parsed as a socket
  // address; logs the ones left out.
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
