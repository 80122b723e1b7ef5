#include <deque>
#include <memory>
#include <mutex>

#include "carawayvalve/base/time.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

// A change that becomes visible at `due`. A null `host` removes the host.
struct HostChange {
  base::Instant due;
  std::string name;
  json host;
};

class HostList {
 public:
  explicit HostList(base::Milliseconds lag) : lag(lag) {}

  Reply Handle(const Request& request) {
    const std::lock_guard lock(this->mutex);
    if (request.Is("GET", "hosts", 1)) {
      return this->List();
    }
    if (request.Is("PUT", "hosts", 2)) {
      json host = request.Json();
      host["name"] = request.path[1];
      return this->Change(request.path[1], std::move(host));
    }
    if (request.Is("DELETE", "hosts", 2)) {
      return this->Change(request.path[1], nullptr);
    }
    return NotFound();
  }

 private:
  Reply Change(const std::string& name, json host) {
    this->changes.push_back({base::Now() + this->lag, name, std::move(host)});
    return JsonReply(200, json::object());
  }

  Reply List() {
    while (!this->changes.empty() && this->changes.front().due <= base::Now()) {
      this->Apply(this->changes.front());
      this->changes.pop_front();
    }
    json list = json::array();
    for (const auto& [name, host] : this->hosts) {
      list.push_back(host);
    }
    return JsonReply(200, {{"hosts", list}});
  }

  void Apply(const HostChange& change) {
    if (change.host.is_null()) {
      this->hosts.erase(change.name);
    } else {
      this->hosts[change.name] = change.host;
    }
  }

  const base::Milliseconds lag;
  std::mutex mutex;
  std::deque<HostChange> changes;
  std::map<std::string, json> hosts;
};

}  // namespace

Handler MakeHostList(const Options& options, const std::stop_token&) {
  const base::Milliseconds lag(options.Number("--lag-ms"));
  const auto host_list = std::make_shared<HostList>(lag);
  return [host_list](const Request& request) {
    return host_list->Handle(request);
  };
}

}  // namespace carawayvalve::fakes
