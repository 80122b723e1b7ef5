#ifndef CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_
#define CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_

#include <functional>
#include <set>
#include <string>

#include "carawayvalve/platform/objects.h"
#include "context.h"

namespace carawayvalve::gateway {

// Registers this gateway in the store and lists the registered gateways at an
// interval. Records in the state which gateways share the slack of the retry
// budget.
class HostRegistry {
 public:
  using OnHost = std::function<void(const base::HostId&, const base::Address&)>;

  // Calls `on_host` for each peer in each list.
  HostRegistry(Context& context,
               platform::ObjectClient& objects,
               OnHost on_host);

  void Start();

 private:
  void Register();
  // `existed_before`: an entry of this gateway's name was there before this
  // process started.
  void OnRegistered(bool existed_before);
  // Lists the gateways whose names follow `after`.
  void List(const std::string& after);
  void OnListed(const platform::ListResult& result);
  void ApplyEntry(const platform::StoredObject& object);

  Context& context;
  platform::ObjectClient& objects;
  OnHost on_host;
  platform::ObjectClient::Handle register_call;
  platform::ObjectClient::Handle list_call;
  net::Timer list_timer;
  net::Timer register_timer;
  // Whether an existing entry may have been created by this process, in a call
  // that wasn't answered.
  bool may_have_created = false;
  // The names on the pages received so far of the list in progress.
  std::set<base::HostId> listed;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_
