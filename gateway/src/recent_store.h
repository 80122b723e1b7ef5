#ifndef CARAWAYVALVE_GATEWAY_SRC_RECENT_STORE_H_
#define CARAWAYVALVE_GATEWAY_SRC_RECENT_STORE_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/recent_state_schedule.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "store_feed.h"

namespace carawayvalve::gateway {

// Stores what the successors of all gateways need, as core::RecentStateSchedule
// decides, and reads what predecessors have stored into the state.
class RecentStore {
 public:
  // Receives whether everything stored was read.
  using ReadHandler = std::function<void(bool is_complete)>;

  RecentStore(Context& context,
              platform::ObjectClient& objects,
              const StoreFeed& feed);

  // Begins to store.
  void Start();
  // Reads what is stored, once for all that ask meanwhile. Calls the handler
  // once, at once if a reading has just failed.
  void Read(ReadHandler handler);

 private:
  void Step();
  void Write(const core::StoreRecentState& action);
  void Create(const core::StoreRecentState& action);
  void OnWritten(const core::StoreRecentState& action,
                 const platform::WriteResult& result);
  void ListStored(const std::string& after);
  void OnListed(const platform::ListResult& result);
  void Apply();
  void Apply(const core::RecentState& state, base::Duration age);
  // Extends the history of versions by that of the state if nothing was
  // registered unseen since.
  void ReadRegistrySince(const core::RecentState& state);
  void OnRegistryRead(const core::RecentState& state,
                      const platform::WatchResult& result);
  void FinishRead(bool is_complete);

  Context& context;
  platform::ObjectClient& objects;
  const StoreFeed& feed;
  net::Timer timer;
  platform::ObjectClient::Handle write_call;
  platform::ObjectClient::Handle read_call;
  // The last object that wasn't known to exist didn't, so that the next one
  // won't either.
  bool creates = false;
  // The objects that are known to exist.
  std::set<std::string> existing;
  // The readable states of the reading in progress.
  std::vector<core::RecentState> listed;
  base::Instant list_sent_at;
  std::optional<base::Instant> read_failed_at;
  std::vector<ReadHandler> readers;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_RECENT_STORE_H_
