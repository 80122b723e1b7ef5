#ifndef CARAWAYVALVE_ENTRY_SRC_CREDIT_LINKS_H_
#define CARAWAYVALVE_ENTRY_SRC_CREDIT_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/account_rate_shares.h"
#include "carawayvalve_types.h"
#include "worker_pool.h"

namespace carawayvalve::entry {

// Calls the other entry processes to move credit of rate limits. At most one
// call to each is under way; what is to be sent meanwhile goes with the next
// one. What a failed call carried is lost. Thread-safe.
class CreditLinks {
 public:
  // Called without locks, on a thread of the links.
  struct Events {
    // The peer has answered: it counts this process.
    std::function<void(const base::HostId& peer)> on_counted;
    // `boot` is the run of the peer that gives.
    std::function<void(const std::string& boot,
                       const std::vector<core::CreditGrant>& grants)>
        on_grants;
  };

  CreditLinks(const base::HostId& self, const base::BootId& boot, Events events)
      : self(self), boot(boot), events(std::move(events)), pool(kThreads) {}
  ~CreditLinks();

  CreditLinks(const CreditLinks&) = delete;
  CreditLinks& operator=(const CreditLinks&) = delete;

  // Sets the addresses of the other processes.
  void SetPeers(const std::map<base::HostId, std::string>& addresses);
  void Ask(const base::HostId& peer, const core::CreditQuestion& question);
  void Give(const base::HostId& peer, const core::CreditGrant& grant);
  // Calls the peer with nothing, unless a call has just failed.
  void Probe(const base::HostId& peer);
  // Returns the peers whose last call failed.
  std::set<base::HostId> Silent() const;
  // Starts no further calls.
  void Stop();

 private:
  static constexpr size_t kThreads = 4;

  struct Peer;
  struct Batch;

  std::shared_ptr<Peer> Find(const base::HostId& host) const;
  // The lock must be held.
  void Wake(const std::shared_ptr<Peer>& peer);
  void Run(const std::shared_ptr<Peer>& peer);
  // Sends the batch. Returns whether the peer answered.
  bool Call(Peer& peer, const Batch& batch);

  const base::HostId self;
  const base::BootId boot;
  const Events events;
  mutable std::mutex mutex;
  bool stopping = false;
  std::map<base::HostId, std::shared_ptr<Peer>> peers;
  // Ends its jobs before the rest is destroyed.
  WorkerPool pool;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CREDIT_LINKS_H_
