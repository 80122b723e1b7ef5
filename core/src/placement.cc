#include "carawayvalve/core/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "carawayvalve/core/candidate_choice.h"
#include "placement_engines.h"

namespace carawayvalve::core {

namespace {

// Hash by which the engines reserved for short prompts are ranked.
constexpr uint64_t kShortPromptsHash = 1;

}  // namespace

Placer::Placer(const PlacementSettings& settings,
               const BackendDirectory& directory,
               const BackendHealth& health,
               const BackendRateLimits& rate_limits,
               const SilenceDetector& silence,
               const FleetLoad& load,
               const PrefixCacheTracker& prefix_cache,
               const ReportedLoad& reported_load)
    : settings(settings),
      directory(directory),
      health(health),
      rate_limits(rate_limits),
      silence(silence),
      load(load),
      prefix_cache(prefix_cache),
      reported_load(reported_load) {}

std::optional<Exclusion> Placer::WhyExcluded(const BackendEntry& entry,
                                             const PlacementQuery& query,
                                             base::Instant now) const {
  if (entry.draining) {
    return Exclusion::kLeaves;
  }
  if (query.excluded.contains(entry.id)) {
    return Exclusion::kTried;
  }
  if (!IsPrefillEngine(entry) && query.software_version.has_value() &&
      entry.software_version != *query.software_version) {
    return Exclusion::kOtherVersion;
  }
  if (this->health.AskedToWait(entry.id, now)) {
    return Exclusion::kAskedToWait;
  }
  if (!this->rate_limits.MaySend(entry.id, entry.started_ms, now)) {
    return Exclusion::kRateLimit;
  }
  return std::nullopt;
}

bool Placer::IsHealthy(const BackendEntry& entry, base::Instant now) const {
  return this->health.Usable(entry.id, this->load.OwnRequests(entry.id), now) &&
         !this->silence.IsSilent(entry.id, now);
}

Placer::Candidates Placer::FindCandidates(const PlacementQuery& query,
                                          base::Instant now) const {
  Candidates usable;
  Candidates unhealthy;
  for (const auto& [id, entry] : this->directory.entries()) {
    if (entry.service != query.service ||
        this->WhyExcluded(entry, query, now).has_value()) {
      continue;
    }
    (this->IsHealthy(entry, now) ? usable : unhealthy).push_back(&entry);
  }
  // Unhealthy backend servers are candidates only when no healthy one can
  // answer.
  const auto can_answer = [](const BackendEntry* entry) {
    return !entry->role.has_value() || IsDecodeEngine(*entry);
  };
  if (std::none_of(usable.begin(), usable.end(), can_answer)) {
    usable.insert(usable.end(), unhealthy.begin(), unhealthy.end());
  }
  return usable;
}

Placer::Candidates Placer::PrefillEngines(const Candidates& candidates,
                                          const Prompt& prompt) const {
  Candidates prefill_engines;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(prefill_engines),
      [](const BackendEntry* entry) { return IsPrefillEngine(*entry); });
  const auto reserved = static_cast<size_t>(
      std::llround(static_cast<double>(prefill_engines.size()) *
                   this->settings.short_prompt_engine_share));
  if (prompt.prompt_tokens <= this->settings.short_prompt_tokens ||
      reserved == 0) {
    return prefill_engines;
  }
  const auto rank = [](const BackendEntry* entry) {
    return AffinityRank(kShortPromptsHash, entry->id);
  };
  std::nth_element(prefill_engines.begin(),
                   prefill_engines.begin() + static_cast<int64_t>(reserved),
                   prefill_engines.end(),
                   [&](const BackendEntry* a, const BackendEntry* b) {
                     return rank(a) > rank(b);
                   });
  prefill_engines.erase(
      prefill_engines.begin(),
      prefill_engines.begin() + static_cast<int64_t>(reserved));
  return prefill_engines;
}

double Placer::AffinityPenaltyFactor(const Candidates& engines,
                                     base::Instant now) const {
  int64_t unread = 0;
  double engines_rate = 0;
  for (const BackendEntry* engine : engines) {
    unread += this->load.LoadOf(engine->id, now).unread_tokens;
    engines_rate += this->SpeedsOf(*engine).prefill_tokens_per_ms;
  }
  const base::Duration work =
      engines.empty() ? base::Duration(0)
                      : FromMs(static_cast<double>(unread) / engines_rate);
  return std::clamp(
      std::chrono::duration<double>(work) /
          std::chrono::duration<double>(this->settings.unit_penalty_backlog),
      this->settings.min_affinity_penalty, this->settings.max_affinity_penalty);
}

void Placer::FindCopySource(PrefixAffinity& affinity, base::Instant now) const {
  for (const auto& [id, entry] : this->directory.entries()) {
    const int64_t tokens =
        this->prefix_cache.PrefilledTokens(id, affinity.keys);
    if (tokens > affinity.source_tokens && !entry.draining &&
        !this->silence.IsSilent(id, now)) {
      affinity.source = &entry;
      affinity.source_tokens = tokens;
    }
  }
}

Placer::PrefixAffinity Placer::FindAffinity(const Candidates& candidates,
                                            const Prompt& prompt,
                                            base::Instant now) const {
  PrefixAffinity affinity;
  affinity.keys = PrefixKeysOf(prompt);
  affinity.penalty_factor = this->AffinityPenaltyFactor(candidates, now);
  this->FindCopySource(affinity, now);
  // Affinity ranks are the same in every process, including one that has just
  // started.
  uint64_t first_rank = 0;
  uint64_t second_rank = 0;
  const uint64_t hash = affinity.keys.empty() ? 0 : affinity.keys.back().hash;
  for (const BackendEntry* entry : candidates) {
    const uint64_t rank = AffinityRank(hash, entry->id);
    if (affinity.first == nullptr || rank > first_rank) {
      affinity.second = std::exchange(affinity.first, entry);
      second_rank = std::exchange(first_rank, rank);
    } else if (affinity.second == nullptr || rank > second_rank) {
      affinity.second = entry;
      second_rank = rank;
    }
  }
  return affinity;
}

Placer::Estimate Placer::ChooseEstimate(const std::vector<Estimate>& estimates,
                                        const PlacementQuery& query,
                                        base::Instant now) const {
  if (estimates.empty()) {
    return {};
  }
  const auto lowest = std::min_element(
      estimates.begin(), estimates.end(),
      [](const Estimate& a, const Estimate& b) { return a.cost < b.cost; });
  if (!this->settings.even_load) {
    return *lowest;
  }
  std::vector<CandidateCost> costs;
  costs.reserve(estimates.size());
  for (const Estimate& estimate : estimates) {
    costs.push_back({estimate.cost, estimate.work_ahead, estimate.turnover,
                     estimate.usual_cost});
  }
  Estimate chosen =
      estimates[ChooseCandidate(costs, this->load.ReportAge(now), query.draw)];
  // Being late for the sake of even load helps nobody.
  if (chosen.wait > query.objective && lowest->wait <= query.objective) {
    return *lowest;
  }
  chosen.passed_over_lowest = chosen.cost > lowest->cost;
  return chosen;
}

Placer::Estimate Placer::BestEngine(const Candidates& candidates,
                                    const PlacementQuery& query,
                                    base::Instant now) const {
  const PrefixAffinity affinity =
      this->FindAffinity(candidates, *query.prompt, now);
  std::vector<Estimate> estimates;
  estimates.reserve(candidates.size());
  for (const BackendEntry* entry : candidates) {
    estimates.push_back(
        this->EstimateEngine(*entry, *query.prompt, affinity, now));
  }
  return this->ChooseEstimate(estimates, query, now);
}

Placement Placer::ToPlacement(const Estimate& estimate) {
  Placement placement;
  placement.target = *estimate.entry;
  placement.missing_tokens = estimate.missing_tokens;
  placement.prefill_work = estimate.prefill_work;
  if (estimate.copy_from != nullptr) {
    placement.copy_from = *estimate.copy_from;
  }
  placement.expected = estimate.wait;
  placement.at_full_speed = estimate.at_full_speed;
  placement.work_ahead = estimate.work_ahead;
  placement.requests_ahead = estimate.requests_ahead;
  placement.tokens_ahead = estimate.tokens_ahead;
  placement.passed_over_lowest = estimate.passed_over_lowest;
  return placement;
}

PlacementResult Placer::ChoosePlain(const Candidates& candidates,
                                    const PlacementQuery& query,
                                    base::Instant now) const {
  std::vector<Estimate> estimates;
  estimates.reserve(candidates.size());
  for (const BackendEntry* entry : candidates) {
    estimates.push_back(this->EstimatePlain(*entry, now));
  }
  return ToPlacement(this->ChooseEstimate(estimates, query, now));
}

bool Placer::PrefersDirect(const Estimate& direct,
                           const Estimate& prefill) const {
  if (direct.missing_tokens <= this->settings.max_direct_prefill_tokens) {
    return true;
  }
  const base::Duration prefill_time =
      FromMs(static_cast<double>(direct.prefill_work) /
             this->PrefillRate(*direct.entry));
  // Each stream that runs there is delayed by the prefill.
  const base::Duration delay = prefill_time * direct.requests_ahead;
  return prefill_time <= this->settings.max_direct_prefill &&
         direct.cost + delay <= prefill.cost + this->settings.handover;
}

PlacementResult Placer::ChooseEngine(const Candidates& candidates,
                                     const PlacementQuery& query,
                                     base::Instant now) const {
  Candidates decode_engines;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(decode_engines),
      [](const BackendEntry* entry) { return !IsPrefillEngine(*entry); });
  const Estimate direct = this->BestEngine(decode_engines, query, now);
  if (direct.entry == nullptr) {
    return NoBackend{"no engine generates"};
  }
  const Estimate prefill_engine = this->BestEngine(
      this->PrefillEngines(candidates, *query.prompt), query, now);
  if (!query.may_hand_over || prefill_engine.entry == nullptr ||
      this->PrefersDirect(direct, prefill_engine)) {
    return ToPlacement(direct);
  }
  Placement placement = ToPlacement(prefill_engine);
  placement.prefill_only = true;
  placement.expected += this->settings.handover;
  placement.at_full_speed += this->settings.handover;
  return placement;
}

PlacementResult Placer::ChooseDecodeEngine(const PlacementQuery& query,
                                           const BackendEntry& prefill_engine,
                                           base::Instant now) const {
  std::vector<Estimate> estimates;
  for (const BackendEntry* entry : this->FindCandidates(query, now)) {
    if (!IsPrefillEngine(*entry)) {
      estimates.push_back(this->EstimateDecode(*entry, prefill_engine, now));
    }
  }
  if (estimates.empty()) {
    return NoBackend{"no engine generates"};
  }
  return ToPlacement(this->ChooseEstimate(estimates, query, now));
}

PlacementResult Placer::Choose(const PlacementQuery& query,
                               base::Instant now) const {
  const Candidates candidates = this->FindCandidates(query, now);
  if (candidates.empty()) {
    return NoBackend{"no backend server of the service takes requests"};
  }
  return query.prompt == nullptr ? this->ChoosePlain(candidates, query, now)
                                 : this->ChooseEngine(candidates, query, now);
}

bool Placer::HasAlternative(const PlacementQuery& query,
                            base::Instant now) const {
  const Candidates candidates = this->FindCandidates(query, now);
  return std::any_of(
      candidates.begin(), candidates.end(),
      [](const BackendEntry* entry) { return !IsPrefillEngine(*entry); });
}

}  // namespace carawayvalve::core
