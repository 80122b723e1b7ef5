#include <algorithm>
#include <cmath>

#include "carawayvalve/core/placement.h"
#include "placement_engines.h"

namespace carawayvalve::core {

namespace {

base::Duration ScaleBySlowness(base::Duration time, double slowness) {
  return std::chrono::duration_cast<base::Duration>(time * slowness);
}

}  // namespace

base::Duration Placer::Penalty(const BackendEntry& entry,
                               base::Instant now) const {
  base::Duration penalty = FromMs(
      this->health.FailureRate(entry.id, now) *
      std::chrono::duration<double, std::milli>(this->settings.failure_penalty)
          .count());
  if (entry.data_centre != this->settings.data_centre) {
    penalty += this->settings.cross_data_centre_penalty;
  }
  return penalty;
}

void Placer::SetSpeeds(const base::ServiceId& service,
                       const EngineSpeeds& speeds) {
  this->speeds[service] = speeds;
}

const EngineSpeeds& Placer::SpeedsOf(const BackendEntry& entry) const {
  const auto found = this->speeds.find(entry.service);
  return found == this->speeds.end() ? this->settings.speeds : found->second;
}

double Placer::SlownessOf(const BackendEntry& entry, base::Instant now) const {
  return std::max(this->health.Slowness(entry.id, now),
                  this->reported_load.Slowness(entry.id, now));
}

double Placer::PrefillRate(const BackendEntry& entry) const {
  const double rate = this->SpeedsOf(entry).prefill_tokens_per_ms;
  return IsPrefillEngine(entry) ? rate
                                : rate * this->settings.decode_prefill_share;
}

base::Duration Placer::SlotWait(const BackendEntry& entry,
                                const BackendLoad& present) const {
  const int64_t slots = std::max<int64_t>(entry.slots, 1);
  const int64_t waiting = present.requests + 1 - slots;
  if (IsPrefillEngine(entry) || waiting <= 0) {
    return {};
  }
  return this->SpeedsOf(entry).slot_time * waiting / slots;
}

Placer::Estimate Placer::EstimatePlain(const BackendEntry& entry,
                                       base::Instant now) const {
  const BackendLoad present = this->load.LoadOf(entry.id, now);
  const double rounds_ahead =
      static_cast<double>(present.requests) /
      static_cast<double>(std::max<int64_t>(entry.slots, 1));
  Estimate estimate;
  estimate.entry = &entry;
  // Assumes queueing from the first request on: a backend server may slow down
  // well before its slots are taken.
  estimate.at_full_speed = std::chrono::duration_cast<base::Duration>(
      this->SpeedsOf(entry).plain_request * (1 + rounds_ahead));
  estimate.requests_ahead = present.requests;
  const double slowness = this->SlownessOf(entry, now);
  estimate.wait = ScaleBySlowness(estimate.at_full_speed, slowness);
  estimate.work_ahead =
      ScaleBySlowness(std::chrono::duration_cast<base::Duration>(
                          this->SpeedsOf(entry).plain_request * rounds_ahead),
                      slowness);
  estimate.turnover = ScaleBySlowness(
      std::chrono::duration_cast<base::Duration>(
          this->SpeedsOf(entry).plain_request * std::max(rounds_ahead, 1.0)),
      slowness);
  const base::Duration penalty = this->Penalty(entry, now);
  estimate.usual_cost = this->SpeedsOf(entry).plain_request + penalty;
  estimate.cost = estimate.wait + penalty;
  return estimate;
}

Placer::Estimate Placer::EstimateDecode(const BackendEntry& entry,
                                        const BackendEntry& prefill_engine,
                                        base::Instant now) const {
  const BackendLoad present = this->load.LoadOf(entry.id, now);
  Estimate estimate;
  estimate.entry = &entry;
  const EngineSpeeds& speeds = this->SpeedsOf(entry);
  const base::Duration prefilling = FromMs(
      static_cast<double>(present.unread_tokens) / this->PrefillRate(entry));
  estimate.at_full_speed = speeds.first_event +
                           speeds.step_per_request * present.requests +
                           prefilling;
  estimate.requests_ahead = present.requests;
  estimate.tokens_ahead = present.unread_tokens;
  const double slowness = this->SlownessOf(entry, now);
  const base::Duration slot_wait = this->SlotWait(entry, present);
  estimate.work_ahead =
      ScaleBySlowness(speeds.step_per_request * present.requests + prefilling,
                      slowness) +
      slot_wait;
  // Each request that runs delays a further one by a step, while it has a slot.
  estimate.turnover = std::max(ScaleBySlowness(speeds.slot_time, slowness),
                               estimate.work_ahead);
  estimate.wait = ScaleBySlowness(estimate.at_full_speed, slowness) + slot_wait;
  estimate.usual_cost = speeds.first_event + this->Penalty(entry, now);
  if (entry.data_centre != prefill_engine.data_centre) {
    estimate.usual_cost += this->settings.handover;
  }
  estimate.cost = estimate.wait + estimate.usual_cost - speeds.first_event;
  return estimate;
}

Placer::Estimate Placer::EstimateEngine(const BackendEntry& entry,
                                        const Prompt& prompt,
                                        const PrefixAffinity& affinity,
                                        base::Instant now) const {
  const BackendLoad present = this->load.LoadOf(entry.id, now);
  const EngineSpeeds& speeds = this->SpeedsOf(entry);
  const double rate = this->PrefillRate(entry);
  const double slowness = this->SlownessOf(entry, now);
  const std::vector<PrefixKey>& keys = affinity.keys;
  int64_t cached = this->prefix_cache.CachedTokens(entry.id, keys);
  const int64_t shared = keys.empty() ? 0 : keys.back().tokens;
  Estimate estimate;
  estimate.entry = &entry;
  base::Duration copying{};
  if (affinity.source != nullptr &&
      affinity.source_tokens - cached >= this->settings.min_copied_tokens) {
    estimate.copy_from = affinity.source;
    copying = this->CopyTime(*affinity.source, entry,
                             affinity.source_tokens - cached);
    cached = affinity.source_tokens;
  }
  estimate.missing_tokens =
      std::max<int64_t>(BoundTokens(prompt.prompt_tokens) - cached, 0);
  estimate.prefill_work = this->PrefillWork(estimate.missing_tokens, cached);
  estimate.requests_ahead = present.requests;
  estimate.tokens_ahead = present.unread_tokens;
  const base::Duration slot_wait = this->SlotWait(entry, present);
  estimate.work_ahead =
      FromMs(static_cast<double>(present.unread_tokens) / rate * slowness) +
      slot_wait;
  const base::Duration base =
      IsPrefillEngine(entry) ? speeds.prefill_base : speeds.first_event;
  estimate.at_full_speed =
      copying + base + speeds.step_per_request * present.requests +
      FromMs(
          static_cast<double>(present.unread_tokens + estimate.prefill_work) /
          rate);
  estimate.wait = ScaleBySlowness(estimate.at_full_speed, slowness) + slot_wait;
  double penalty_factor = 2 * affinity.penalty_factor;
  if (&entry == affinity.first) {
    penalty_factor = 0;
  } else if (&entry == affinity.second) {
    penalty_factor = affinity.penalty_factor;
  }
  base::Duration penalties =
      this->Penalty(entry, now) +
      FromMs(penalty_factor * static_cast<double>(shared - cached) / rate);
  if (estimate.copy_from != nullptr) {
    penalties += this->settings.copy_penalty;
  }
  estimate.cost = estimate.wait + penalties;
  estimate.usual_cost =
      copying + base +
      FromMs(static_cast<double>(estimate.prefill_work) / rate) + penalties;
  return estimate;
}

int64_t Placer::PrefillWork(int64_t missing, int64_t cached) const {
  const auto tokens = static_cast<double>(missing);
  const double pairs = tokens * (static_cast<double>(cached) + tokens / 2);
  return missing +
         std::llround(pairs / 1e6 * this->settings.tokens_per_million_pairs);
}

base::Duration Placer::CopyTime(const BackendEntry& from,
                                const BackendEntry& to,
                                int64_t tokens) const {
  const base::Duration time =
      this->settings.copy_setup +
      FromMs(static_cast<double>(tokens) / this->settings.copy_tokens_per_ms);
  return from.data_centre == to.data_centre ? time : 2 * time;
}

}  // namespace carawayvalve::core
