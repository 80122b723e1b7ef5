#include "carawayvalve/core/role_share_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>
#include <tuple>

namespace carawayvalve::core {

const RoleSharePlanner::Order* RoleSharePlanner::PendingOrder(
    const BackendEntry& engine,
    base::Instant now) const {
  const auto last = this->ordered.find(engine.id);
  const bool pending = last != this->ordered.end() &&
                       now - last->second.at < this->settings.dwell;
  return pending ? &last->second : nullptr;
}

bool RoleSharePlanner::IsPrefillEngine(const BackendEntry& engine,
                                       base::Instant now) const {
  const Order* order = this->PendingOrder(engine, now);
  return (order == nullptr ? engine.role : order->role) ==
         config::EngineRole::kPrefill;
}

std::vector<RoleChange> RoleSharePlanner::Plan(
    const std::vector<BackendEntry>& engines,
    bool under_load,
    base::Instant now,
    const LoadOf& load_of) {
  std::map<base::DataCentreId, Engines> centres;
  Engines all;
  for (const BackendEntry& engine : engines) {
    if (engine.role.has_value() && !engine.draining) {
      centres[engine.data_centre].push_back(&engine);
      all.push_back(&engine);
    }
  }
  const auto must_decode = this->DecodeEnginesByVersion(all, now);
  std::vector<RoleChange> changes;
  for (const BackendEntry* engine : all) {
    if (must_decode.contains(engine->id) &&
        this->IsPrefillEngine(*engine, now)) {
      changes.push_back({engine->id, config::EngineRole::kDecode});
    }
  }
  for (const auto& [centre, present] : centres) {
    const auto planned =
        this->PlanDataCentre(present, must_decode, under_load, now, load_of);
    changes.insert(changes.end(), planned.begin(), planned.end());
  }
  if (under_load && changes.size() > this->settings.max_changes_under_load) {
    changes.resize(this->settings.max_changes_under_load);
  }
  return changes;
}

std::set<base::BackendServerId> RoleSharePlanner::DecodeEnginesByVersion(
    const Engines& engines,
    base::Instant now) const {
  std::map<std::string, Engines> versions;
  for (const BackendEntry* engine : engines) {
    versions[engine->software_version].push_back(engine);
  }
  std::set<base::BackendServerId> must_decode;
  if (versions.size() < 2) {
    return must_decode;
  }
  const size_t wanted = this->settings.decode_engines_per_version;
  for (auto& [version, present] : versions) {
    if (present.size() < wanted) {
      continue;
    }
    // Those that decode already come first, engines with a pending order last.
    const auto rank = [&](const BackendEntry* engine) {
      return std::tuple(this->IsPrefillEngine(*engine, now),
                        this->PendingOrder(*engine, now) != nullptr,
                        engine->id);
    };
    std::sort(present.begin(), present.end(),
              [&](const BackendEntry* one, const BackendEntry* other) {
                return rank(one) < rank(other);
              });
    for (size_t i = 0; i < wanted; ++i) {
      must_decode.insert(present[i]->id);
    }
  }
  return must_decode;
}

double RoleSharePlanner::PrefillShare(
    const std::vector<const BackendEntry*>& engines) const {
  int64_t slots = 0;
  for (const BackendEntry* engine : engines) {
    slots += engine->slots;
  }
  const double mean = static_cast<double>(slots) /
                      static_cast<double>(std::max<size_t>(engines.size(), 1));
  const double part =
      std::min(mean / static_cast<double>(this->settings.many_slots), 1.0);
  const double least =
      std::min(this->settings.min_prefill_share, this->settings.prefill_share);
  return least + (this->settings.prefill_share - least) * part;
}

std::vector<RoleChange> RoleSharePlanner::PlanDataCentre(
    const Engines& engines,
    const std::set<base::BackendServerId>& must_decode,
    bool under_load,
    base::Instant now,
    const LoadOf& load_of) {
  const auto count = static_cast<int64_t>(engines.size());
  // A single engine prefills and decodes, so it gets the decode role.
  const int64_t wanted =
      count < 2 ? 0
                : std::clamp<int64_t>(std::llround(static_cast<double>(count) *
                                                   this->PrefillShare(engines)),
                                      1, count - 1);
  const int64_t present = std::count_if(
      engines.begin(), engines.end(), [&](const BackendEntry* engine) {
        return this->IsPrefillEngine(*engine, now);
      });
  const int64_t missing =
      this->MissingPrefillEngines(engines, wanted, now, load_of);
  const bool role_missing = present == 0 || present == count;
  if (missing == 0 || (under_load && !role_missing &&
                       std::abs(missing) < this->settings.tolerance)) {
    return {};
  }
  std::vector<RoleChange> changes;
  for (const BackendEntry* engine : engines) {
    const bool may_change = this->PendingOrder(*engine, now) == nullptr &&
                            !must_decode.contains(engine->id);
    const bool wrong = this->IsPrefillEngine(*engine, now) == (missing < 0);
    if (may_change && wrong &&
        static_cast<int64_t>(changes.size()) < std::abs(missing)) {
      changes.push_back({engine->id, missing > 0
                                         ? config::EngineRole::kPrefill
                                         : config::EngineRole::kDecode});
    }
  }
  return changes;
}

int64_t RoleSharePlanner::MissingPrefillEngines(const Engines& engines,
                                                int64_t wanted,
                                                base::Instant now,
                                                const LoadOf& load_of) {
  const auto count = static_cast<int64_t>(engines.size());
  const int64_t prefill = std::count_if(
      engines.begin(), engines.end(), [&](const BackendEntry* engine) {
        return this->IsPrefillEngine(*engine, now);
      });
  const bool to_prefill = prefill < wanted;
  this->busy_since.erase(
      {engines.front()->service, engines.front()->data_centre, !to_prefill});
  const int64_t present = to_prefill ? prefill : count - prefill;
  int64_t target = to_prefill ? wanted : count - wanted;
  const int64_t rush = this->settings.engines_for_rush;
  if (present < rush) {
    target = std::min(target, rush);
  } else if (!this->StayBusy(engines, to_prefill, now, load_of)) {
    return 0;
  }
  return to_prefill ? target - present : present - target;
}

bool RoleSharePlanner::StayBusy(const Engines& engines,
                                bool prefill,
                                base::Instant now,
                                const LoadOf& load_of) {
  const RoleGroup group{engines.front()->service, engines.front()->data_centre,
                        prefill};
  if (!this->AreBusy(engines, prefill, now, load_of)) {
    this->busy_since.erase(group);
    return false;
  }
  const auto since = this->busy_since.try_emplace(group, now).first->second;
  return now - since >= this->settings.busy_for;
}

bool RoleSharePlanner::AreBusy(const Engines& engines,
                               bool prefill,
                               base::Instant now,
                               const LoadOf& load_of) const {
  int64_t present = 0;
  int64_t busy = 0;
  for (const BackendEntry* engine : engines) {
    if (this->IsPrefillEngine(*engine, now) != prefill) {
      continue;
    }
    ++present;
    const BackendLoad load = load_of(engine->id);
    busy +=
        (prefill ? load.unread_tokens > 0 : load.requests * 2 >= engine->slots)
            ? 1
            : 0;
  }
  return busy * 2 > present;
}

void RoleSharePlanner::NoteOrdered(const RoleChange& change,
                                   base::Instant now) {
  this->ordered[change.backend_server] = {change.role, now};
}

}  // namespace carawayvalve::core
