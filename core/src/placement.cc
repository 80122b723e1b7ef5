#include "carawayvalve/core/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace carawayvalve::core {

namespace {

// Ranks the engines that read short prompts alone.
constexpr uint64_t kShortPrompts = 1;

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

base::Duration Slowed(base::Duration time, double slowness) {
  return std::chrono::duration_cast<base::Duration>(time * slowness);
}

bool Reads(const BackendEntry& entry) {
  return entry.role == config::EngineRole::kPrefill;
}

bool Generates(const BackendEntry& entry) {
  return entry.role.has_value() && !Reads(entry);
}

}  // namespace

Placer::Placer(const PlacementSettings& settings,
               const BackendDirectory& directory,
               const BackendHealth& health,
               const SilenceWatch& silence,
               const FleetLoad& load,
               const PrefixCacheTracker& homes)
    : settings(settings),
      directory(directory),
      health(health),
      silence(silence),
      load(load),
      homes(homes) {}

Placer::Candidates Placer::FindCandidates(const PlacementQuery& query,
                                          base::Instant now) const {
  Candidates usable;
  Candidates paused;
  for (const auto& [id, entry] : this->directory.entries()) {
    if (entry.service != query.service || entry.draining ||
        query.excluded.contains(id)) {
      continue;
    }
    const bool sound =
        this->health.Usable(id, this->load.OwnRequests(id), now) &&
        !this->silence.Silent(id, now);
    (sound ? usable : paused).push_back(&entry);
  }
  // One that failed is better than none.
  const auto generates = [](const BackendEntry* entry) {
    return !entry->role.has_value() || Generates(*entry);
  };
  if (std::none_of(usable.begin(), usable.end(), generates)) {
    usable.insert(usable.end(), paused.begin(), paused.end());
  }
  return usable;
}

base::Duration Placer::Penalty(const BackendEntry& entry,
                               base::Instant now) const {
  base::Duration penalty = FromMs(
      this->health.FailureShare(entry.id, now) *
      std::chrono::duration<double, std::milli>(this->settings.failure_price)
          .count());
  if (entry.data_centre != this->settings.data_centre) {
    penalty += this->settings.other_data_centre;
  }
  return penalty;
}

Placer::Estimate Placer::EstimatePlain(const BackendEntry& entry,
                                       base::Instant now) const {
  const BackendLoad present = this->load.Of(entry.id, now);
  const double rounds = static_cast<double>(present.requests) /
                        static_cast<double>(std::max<int64_t>(entry.slots, 1));
  Estimate estimate;
  estimate.entry = &entry;
  // A backend server may slow down well before its slots are taken.
  estimate.at_full_speed = std::chrono::duration_cast<base::Duration>(
      this->settings.plain_request * (1 + rounds));
  estimate.wait =
      Slowed(estimate.at_full_speed, this->health.Slowness(entry.id, now));
  estimate.cost = estimate.wait + this->Penalty(entry, now);
  return estimate;
}

Placer::Estimate Placer::EstimateDecode(const BackendEntry& entry,
                                        const BackendEntry& reader,
                                        base::Instant now) const {
  const BackendLoad present = this->load.Of(entry.id, now);
  Estimate estimate;
  estimate.entry = &entry;
  const base::Duration reading =
      FromMs(static_cast<double>(present.unread_tokens) /
             this->settings.decode_tokens_per_ms);
  estimate.at_full_speed = this->settings.first_event +
                           this->settings.step_per_request * present.requests +
                           reading;
  estimate.wait =
      Slowed(estimate.at_full_speed, this->health.Slowness(entry.id, now));
  estimate.cost = estimate.wait + this->Penalty(entry, now);
  if (entry.data_centre != reader.data_centre) {
    estimate.cost += this->settings.handover;
  }
  return estimate;
}

Placer::Estimate Placer::EstimateEngine(const BackendEntry& entry,
                                        const Prompt& prompt,
                                        const Homes& homes_of,
                                        base::Instant now) const {
  const BackendLoad present = this->load.Of(entry.id, now);
  const double rate = Reads(entry) ? this->settings.prefill_tokens_per_ms
                                   : this->settings.decode_tokens_per_ms;
  const double slowness = this->health.Slowness(entry.id, now);
  const std::vector<PrefixKey>& keys = homes_of.keys;
  int64_t cached = this->homes.CachedTokens(entry.id, keys);
  const int64_t shared = keys.empty() ? 0 : keys.back().tokens;
  Estimate estimate;
  estimate.entry = &entry;
  base::Duration copying{};
  if (homes_of.source_tokens >= cached + this->settings.least_copied_tokens) {
    estimate.copy_from = homes_of.source;
    copying = this->CopyTime(*homes_of.source, entry,
                             homes_of.source_tokens - cached);
    cached = homes_of.source_tokens;
  }
  estimate.missing_tokens = std::max<int64_t>(prompt.prompt_tokens - cached, 0);
  estimate.prefill_work = this->ReadingWork(estimate.missing_tokens, cached);
  estimate.work_ahead =
      FromMs(static_cast<double>(present.unread_tokens) / rate * slowness);
  estimate.at_full_speed = copying + this->settings.first_event +
                           this->settings.step_per_request * present.requests +
                           FromMs(static_cast<double>(present.unread_tokens +
                                                      estimate.prefill_work) /
                                  rate);
  estimate.wait = Slowed(estimate.at_full_speed, slowness);
  double price = 2 * homes_of.price;
  if (&entry == homes_of.first) {
    price = 0;
  } else if (&entry == homes_of.second) {
    price = homes_of.price;
  }
  estimate.cost = estimate.wait + this->Penalty(entry, now) +
                  FromMs(price * static_cast<double>(shared - cached) / rate);
  if (estimate.copy_from != nullptr) {
    estimate.cost += this->settings.copy_price;
  }
  return estimate;
}

Placer::Candidates Placer::Readers(const Candidates& candidates,
                                   const Prompt& prompt) const {
  Candidates readers;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(readers),
               [](const BackendEntry* entry) { return Reads(*entry); });
  const auto reserved = static_cast<size_t>(std::llround(
      static_cast<double>(readers.size()) * this->settings.short_share));
  if (prompt.prompt_tokens <= this->settings.short_prompt_tokens ||
      reserved == 0) {
    return readers;
  }
  const auto rank = [](const BackendEntry* entry) {
    return AffinityRank(kShortPrompts, entry->id);
  };
  std::nth_element(
      readers.begin(), readers.begin() + static_cast<int64_t>(reserved),
      readers.end(), [&](const BackendEntry* a, const BackendEntry* b) {
        return rank(a) > rank(b);
      });
  readers.erase(readers.begin(),
                readers.begin() + static_cast<int64_t>(reserved));
  return readers;
}

int64_t Placer::ReadingWork(int64_t missing, int64_t cached) const {
  const auto tokens = static_cast<double>(missing);
  const double pairs = tokens * (static_cast<double>(cached) + tokens / 2);
  return missing +
         std::llround(pairs / 1e6 * this->settings.tokens_per_million_pairs);
}

double Placer::HomePrice(const Candidates& engines, base::Instant now) const {
  int64_t unread = 0;
  for (const BackendEntry* engine : engines) {
    unread += this->load.Of(engine->id, now).unread_tokens;
  }
  const double engines_rate = this->settings.prefill_tokens_per_ms *
                              static_cast<double>(engines.size());
  const base::Duration work =
      engines.empty() ? base::Duration(0)
                      : FromMs(static_cast<double>(unread) / engines_rate);
  return std::clamp(
      std::chrono::duration<double>(work) /
          std::chrono::duration<double>(this->settings.price_work),
      this->settings.least_home_price, this->settings.most_home_price);
}

base::Duration Placer::CopyTime(const BackendEntry& from,
                                const BackendEntry& to,
                                int64_t tokens) const {
  const base::Duration time =
      this->settings.copy_setup +
      FromMs(static_cast<double>(tokens) / this->settings.copied_tokens_per_ms);
  return from.data_centre == to.data_centre ? time : 2 * time;
}

void Placer::FindSource(Homes& homes_of, base::Instant now) const {
  for (const auto& [id, entry] : this->directory.entries()) {
    const int64_t tokens = this->homes.PrefilledTokens(id, homes_of.keys);
    if (tokens > homes_of.source_tokens && !this->silence.Silent(id, now)) {
      homes_of.source = &entry;
      homes_of.source_tokens = tokens;
    }
  }
}

Placer::Homes Placer::FindHomes(const Candidates& candidates,
                                const Prompt& prompt,
                                base::Instant now) const {
  Homes homes_of;
  homes_of.keys = PrefixKeysOf(prompt);
  homes_of.price = this->HomePrice(candidates, now);
  this->FindSource(homes_of, now);
  // Ranks say the same to every process, also to one that has just started.
  uint64_t first = 0;
  uint64_t second = 0;
  const uint64_t hash = homes_of.keys.empty() ? 0 : homes_of.keys.back().hash;
  for (const BackendEntry* entry : candidates) {
    const uint64_t rank = AffinityRank(hash, entry->id);
    if (homes_of.first == nullptr || rank > first) {
      homes_of.second = std::exchange(homes_of.first, entry);
      second = std::exchange(first, rank);
    } else if (homes_of.second == nullptr || rank > second) {
      homes_of.second = entry;
      second = rank;
    }
  }
  return homes_of;
}

Placer::Estimate Placer::BestEngine(const Candidates& candidates,
                                    const Prompt& prompt,
                                    base::Instant now) const {
  const Homes homes_of = this->FindHomes(candidates, prompt, now);
  Estimate best;
  for (const BackendEntry* entry : candidates) {
    const Estimate estimate =
        this->EstimateEngine(*entry, prompt, homes_of, now);
    if (best.entry == nullptr || estimate.cost < best.cost) {
      best = estimate;
    }
  }
  return best;
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
  return placement;
}

PlacementResult Placer::ChoosePlain(const Candidates& candidates,
                                    base::Instant now) const {
  Estimate best;
  for (const BackendEntry* entry : candidates) {
    const Estimate estimate = this->EstimatePlain(*entry, now);
    if (best.entry == nullptr || estimate.cost < best.cost) {
      best = estimate;
    }
  }
  return ToPlacement(best);
}

PlacementResult Placer::ChooseEngine(const Candidates& candidates,
                                     const PlacementQuery& query,
                                     base::Instant now) const {
  Candidates generators;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(generators),
               [](const BackendEntry* entry) { return !Reads(*entry); });
  const Estimate direct = this->BestEngine(generators, *query.prompt, now);
  if (direct.entry == nullptr) {
    return NoBackend{"no engine generates"};
  }
  const Estimate reader = this->BestEngine(
      this->Readers(candidates, *query.prompt), *query.prompt, now);
  if (!query.may_hand_over || reader.entry == nullptr ||
      direct.missing_tokens <= this->settings.direct_tokens) {
    return ToPlacement(direct);
  }
  Placement placement = ToPlacement(reader);
  placement.prefill_only = true;
  placement.expected += this->settings.handover;
  placement.at_full_speed += this->settings.handover;
  return placement;
}

PlacementResult Placer::ChooseDecodeEngine(const PlacementQuery& query,
                                           const BackendEntry& reader,
                                           base::Instant now) const {
  Estimate best;
  for (const BackendEntry* entry : this->FindCandidates(query, now)) {
    if (Reads(*entry)) {
      continue;
    }
    const Estimate estimate = this->EstimateDecode(*entry, reader, now);
    if (best.entry == nullptr || estimate.cost < best.cost) {
      best = estimate;
    }
  }
  if (best.entry == nullptr) {
    return NoBackend{"no engine generates"};
  }
  return ToPlacement(best);
}

PlacementResult Placer::Choose(const PlacementQuery& query,
                               base::Instant now) const {
  const Candidates candidates = this->FindCandidates(query, now);
  if (candidates.empty()) {
    return NoBackend{"no backend server of the service is known"};
  }
  return query.prompt == nullptr ? this->ChoosePlain(candidates, now)
                                 : this->ChooseEngine(candidates, query, now);
}

bool Placer::HasAlternative(const PlacementQuery& query,
                            base::Instant now) const {
  const Candidates candidates = this->FindCandidates(query, now);
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const BackendEntry* entry) { return !Reads(*entry); });
}

}  // namespace carawayvalve::core
