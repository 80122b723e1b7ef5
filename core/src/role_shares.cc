#include "carawayvalve/core/role_shares.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace carawayvalve::core {

namespace {

bool Reads(const BackendEntry& engine) {
  return engine.role == config::EngineRole::kPrefill;
}

}  // namespace

std::vector<RoleChange> RoleShares::Plan(
    const std::vector<BackendEntry>& engines,
    bool under_load,
    base::Instant now) const {
  std::map<base::DataCentreId, std::vector<const BackendEntry*>> centres;
  for (const BackendEntry& engine : engines) {
    if (engine.role.has_value() && !engine.draining) {
      centres[engine.data_centre].push_back(&engine);
    }
  }
  std::vector<RoleChange> changes;
  for (const auto& [centre, present] : centres) {
    const auto planned = this->PlanCentre(present, under_load, now);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  if (under_load && changes.size() > this->settings.changes_under_load) {
    changes.resize(this->settings.changes_under_load);
  }
  return changes;
}

std::vector<RoleChange> RoleShares::PlanCentre(
    const std::vector<const BackendEntry*>& engines,
    bool under_load,
    base::Instant now) const {
  const auto count = static_cast<int64_t>(engines.size());
  // A lone engine does both.
  const int64_t wanted =
      count < 2 ? 0
                : std::clamp<int64_t>(
                      std::llround(static_cast<double>(count) *
                                   this->settings.reading),
                      1, count - 1);
  const int64_t present =
      std::count_if(engines.begin(), engines.end(),
                    [](const BackendEntry* engine) { return Reads(*engine); });
  const int64_t missing = wanted - present;
  const bool none_left = present == 0 || present == count;
  if (missing == 0 || (under_load && !none_left &&
                       std::abs(missing) < this->settings.tolerance)) {
    return {};
  }
  std::vector<RoleChange> changes;
  for (const BackendEntry* engine : engines) {
    const auto last = this->ordered.find(engine->id);
    const bool may_change = last == this->ordered.end() ||
                            now - last->second >= this->settings.dwell;
    const bool wrong = Reads(*engine) == (missing < 0);
    if (may_change && wrong &&
        static_cast<int64_t>(changes.size()) < std::abs(missing)) {
      changes.push_back({engine->id, missing > 0
                                         ? config::EngineRole::kPrefill
                                         : config::EngineRole::kDecode});
    }
  }
  return changes;
}

void RoleShares::NoteOrdered(const base::BackendServerId& id,
                             base::Instant now) {
  this->ordered[id] = now;
}

}  // namespace carawayvalve::core
