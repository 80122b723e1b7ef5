#include "carawayvalve/core/duty.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace carawayvalve::core {

namespace {

struct DutyNameVisitor {
  std::string operator()(const RolesDuty& duty) const {
    return "roles/" + duty.service.value;
  }
  std::string operator()(const FleetDuty& duty) const {
    return "fleet/" + duty.data_centre.value;
  }
  std::string operator()(const UsageDuty& duty) const {
    return "usage/" + duty.region.value;
  }
};

}  // namespace

std::string DutyName(const Duty& duty) {
  return std::visit(DutyNameVisitor(), duty);
}

std::vector<base::HostId> RankHolders(const std::string& duty_name,
                                      std::vector<base::HostId> live) {
  std::vector<std::pair<uint64_t, base::HostId>> weighted;
  weighted.reserve(live.size());
  for (base::HostId& host : live) {
    const uint64_t weight = base::StableHash(duty_name + "\n" + host.value);
    weighted.emplace_back(weight, std::move(host));
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<base::HostId> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, host] : weighted) {
    ranked.push_back(std::move(host));
  }
  return ranked;
}

std::optional<base::HostId> PreferredHolder(
    const std::string& duty_name,
    const std::vector<base::HostId>& live) {
  if (live.empty()) {
    return std::nullopt;
  }
  return RankHolders(duty_name, live).front();
}

std::optional<base::Duration> TakeoverDelay(
    const std::string& duty_name,
    const base::HostId& self,
    const std::vector<base::HostId>& live,
    base::Duration candidate_delay) {
  const std::vector<base::HostId> ranked = RankHolders(duty_name, live);
  const auto position = std::find(ranked.begin(), ranked.end(), self);
  const auto rank = position - ranked.begin();
  if (position == ranked.end() || rank >= kMaxDutyCandidates) {
    return std::nullopt;
  }
  return candidate_delay * rank;
}

}  // namespace carawayvalve::core
