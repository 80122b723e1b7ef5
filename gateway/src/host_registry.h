#ifndef CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_
#define CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_

#include <functional>
#include <set>
#include <string>

#include "carawayvalve/platform/objects.h"
#include "context.h"

namespace carawayvalve::gateway {

// Registers this gateway in the store and lists the others there, now and then.
// Tells the beliefs who shares the slack of the retry budget.
class HostRegistry {
 public:
  using OnHost = std::function<void(const base::HostId&, const base::Address&)>;

  // `on_host` is called for each other gateway in each list.
  HostRegistry(Context& context,
               platform::ObjectClient& objects,
               OnHost on_host);

  void Start();

 private:
  void Register();
  // The entry of this gateway's name was there before, or it is new.
  void OnRegistered(bool known_before);
  // Lists the gateways from this name on.
  void List(const std::string& after);
  void OnListed(const platform::ListResult& result);
  void TakeEntry(const platform::StoredObject& object);

  Context& context;
  platform::ObjectClient& objects;
  OnHost on_host;
  platform::ObjectClient::Handle register_call;
  platform::ObjectClient::Handle list_call;
  net::Timer list_timer;
  net::Timer register_timer;
  // The entry that is there may be this process's, whose creation was not
  // answered.
  bool may_have_created = false;
  // What the list under way has brought so far.
  std::set<base::HostId> listed;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_HOST_REGISTRY_H_
