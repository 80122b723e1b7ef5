#include "carawayvalve/core/duty.h"

#include <algorithm>
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
  const auto weight = [&](const base::HostId& host) {
    return std::pair(base::StableHash(duty_name + "\n" + host.value), host);
  };
  std::sort(live.begin(), live.end(), [&](const auto& a, const auto& b) {
    return weight(a) > weight(b);
  });
  return live;
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
