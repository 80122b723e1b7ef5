#include "carawayvalve/core/even_draws.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace carawayvalve::core {

namespace {

// Multiples of this, less their whole part, are spread evenly however many are
// taken.
constexpr double kStride = std::numbers::phi - 1;

double FractionOf(double number) {
  return number - std::floor(number);
}

}  // namespace

void EvenDraws::SetProcesses(const base::HostId& self,
                             const std::vector<base::HostId>& hosts) {
  const bool listed =
      std::find(hosts.begin(), hosts.end(), self) != hosts.end();
  const auto before =
      std::count_if(hosts.begin(), hosts.end(),
                    [&](const base::HostId& host) { return host < self; });
  this->rank = listed ? static_cast<size_t>(before) : 0;
  this->processes = listed ? hosts.size() : 1;
}

double EvenDraws::Next(const base::ServiceId& service,
                       base::Duration wall_clock) const {
  const auto found = this->taken.find(service);
  const double count =
      found == this->taken.end() ? 0 : static_cast<double>(found->second);
  const auto period = static_cast<double>(wall_clock / kPeriod);
  const double within = FractionOf(count * kStride);
  const double place = (static_cast<double>(this->rank) + within) /
                       static_cast<double>(this->processes);
  return FractionOf(place + FractionOf(period * kStride));
}

double EvenDraws::Take(const base::ServiceId& service,
                       base::Duration wall_clock) {
  const double draw = this->Next(service, wall_clock);
  ++this->taken[service];
  return draw;
}

}  // namespace carawayvalve::core
