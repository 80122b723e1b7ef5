#include "carawayvalve/systems/host_list.h"

#include <algorithm>
#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

using base::FieldReader;

namespace {

constexpr base::Milliseconds kReadTimeout = base::Milliseconds(5000);

Host ReadHost(FieldReader& fields) {
  Host host;
  host.name.value = fields.String("name");
  host.data_centre.value = fields.String("data_centre");
  host.region.value = fields.String("region");
  const bool is_backend = fields.Choice("role", {"entry", "backend"}) == 1;
  host.role = is_backend ? HostRole::kBackend : HostRole::kEntry;
  host.address = fields.String("address");
  host.service.value =
      is_backend ? fields.String("service") : fields.String("service", "");
  host.leaving = fields.Choice("state", {"live", "leaving"}) == 1;
  return host;
}

}  // namespace

HostList::HostList(std::string address) : address(std::move(address)) {}

std::vector<Host> HostList::Read() const {
  const detail::CallSite site{"read host list", this->address};
  const HttpRequest request =
      detail::MakeRequest(site, "GET", "/hosts", kReadTimeout);
  const nlohmann::json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  std::vector<Host> hosts = ReadArray(site, document, "hosts", ReadHost);
  std::sort(hosts.begin(), hosts.end(),
            [](const Host& a, const Host& b) { return a.name < b.name; });
  return hosts;
}

}  // namespace carawayvalve::systems
