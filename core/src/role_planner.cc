#include "carawayvalve/core/role_planner.h"

#include <algorithm>
#include <limits>

namespace carawayvalve::core {

namespace {

// Limits the drain, since a long answer may take minutes, during which the
// engine is increasingly idle.
constexpr std::chrono::seconds kMaxDrainDuration{120};

}  // namespace

RolePlanner::RolePlanner(const config::EngineRule& rule) : rule(rule) {}

std::optional<RoleChange> RolePlanner::Plan(
    const std::vector<EngineState>& engines,
    base::Instant now) const {
  if (!this->rule.change_roles) {
    return std::nullopt;
  }
  // One change at a time: an engine that isn't ready may be changing.
  const bool all_ready = std::all_of(engines.begin(), engines.end(),
                                     [](const EngineState& engine) {
                                       return engine.ready || engine.draining;
                                     });
  if (!all_ready) {
    return std::nullopt;
  }
  if (auto change =
          this->PlanChangeTo(engines, config::EngineRole::kDecode, now)) {
    return change;
  }
  return this->PlanChangeTo(engines, config::EngineRole::kPrefill, now);
}

void RolePlanner::RecordChange(const base::BackendServerId& backend_server,
                               base::Instant now) {
  this->changed_at[backend_server] = now;
  this->draining_since.erase(backend_server);
}

void RolePlanner::RecordDraining(const base::BackendServerId& backend_server,
                                 base::Instant now) {
  const auto [since, is_new] =
      this->draining_since.try_emplace(backend_server, now);
  if (now - since->second >= kMaxDrainDuration) {
    this->RecordChange(backend_server, now);
  }
}

int64_t RolePlanner::MinEngines(config::EngineRole role) const {
  switch (role) {
    case config::EngineRole::kMixed:
      return 0;
    case config::EngineRole::kPrefill:
      return this->rule.min_prefill_engines;
    case config::EngineRole::kDecode:
      return this->rule.min_decode_engines;
  }
  return 0;
}

// Returns how many engines have the role in excess of the rule's minimum.
int64_t RolePlanner::SpareEngines(const std::vector<EngineState>& engines,
                                  config::EngineRole role) const {
  const auto count = std::count_if(
      engines.begin(), engines.end(),
      [&](const EngineState& engine) { return engine.role == role; });
  return count - this->MinEngines(role);
}

bool RolePlanner::MayChange(const EngineState& engine,
                            base::Instant now) const {
  const auto found = this->changed_at.find(engine.backend_server);
  return found == this->changed_at.end() ||
         now - found->second >= base::Milliseconds(this->rule.dwell_ms);
}

std::optional<RoleChange> RolePlanner::PlanChangeTo(
    const std::vector<EngineState>& engines,
    config::EngineRole role,
    base::Instant now) const {
  if (this->SpareEngines(engines, role) >= 0) {
    return std::nullopt;
  }
  std::optional<RoleChange> change;
  int64_t least_busy = std::numeric_limits<int64_t>::max();
  for (const EngineState& engine : engines) {
    // An engine that already drains is preferred to any other.
    const int64_t busy = engine.draining ? -1 : engine.busy_requests;
    if (engine.role != role && this->SpareEngines(engines, engine.role) > 0 &&
        this->MayChange(engine, now) && busy < least_busy) {
      least_busy = busy;
      change = RoleChange{engine.backend_server, role};
    }
  }
  return change;
}

}  // namespace carawayvalve::core
