#ifndef CARAWAYVALVE_CORE_PLACEMENT_H_
#define CARAWAYVALVE_CORE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/backend_health.h"
#include "carawayvalve/core/backend_rate_limits.h"
#include "carawayvalve/core/caller_request.h"
#include "carawayvalve/core/engine_speeds.h"
#include "carawayvalve/core/fleet_load.h"
#include "carawayvalve/core/placement_report.h"
#include "carawayvalve/core/prefix_cache_tracker.h"
#include "carawayvalve/core/reported_load.h"
#include "carawayvalve/core/silence_detector.h"

namespace carawayvalve::core {

struct PlacementSettings {
  base::DataCentreId data_centre;
  // The speeds of services for which none were set.
  EngineSpeeds speeds;
  // A decode engine prefills at this part of a prefill engine's speed.
  double decode_prefill_share = 0.5;
  // Attention compares each token with all earlier ones: a million such pairs
  // take as long to prefill as this many tokens; from the engines' data sheet.
  double tokens_per_million_pairs = 12;
  // Cost of traffic to another data centre, expressed as a delay.
  base::Duration cross_data_centre_penalty = base::Milliseconds(6);
  // Affinity penalty factor: how much longer the wait at the first affinity
  // engine of a shared prefix may be before the second affinity engine prefills
  // it too, as a multiple of the time of that prefill; twice as much for any
  // other engine. The factor rises with the prefill backlog of the engines: a
  // further prefill costs little while they have spare capacity and delays all
  // later requests while they don't.
  double min_affinity_penalty = 0.5;
  double max_affinity_penalty = 4;
  // Mean prefill backlog per engine at which the factor is one.
  base::Duration unit_penalty_backlog = base::Milliseconds(75);
  // Prompts of up to this many tokens are short. This share of the prefill
  // engines is reserved for them, so that short prompts never queue behind long
  // ones, which take ten times as long.
  int64_t short_prompt_tokens = 4096;
  double short_prompt_engine_share = 0.15;
  // Fixed time of handing over a KV cache, without the transfer of its bytes.
  base::Duration handover = base::Milliseconds(8);
  // A decode engine always prefills up to this many tokens of a prompt itself.
  int64_t max_direct_prefill_tokens = 300;
  // It prefills more if that takes at most this time, which its streams bear
  // well, and costs less than a prefill elsewhere and the handover of the KV
  // cache.
  base::Duration max_direct_prefill = base::Milliseconds(25);
  // Copying the KV cache of a shared prefix from another engine takes this
  // fixed time plus its tokens at this rate: 740 Gbit/s at 18 KB a token, from
  // the engines' data sheet. Twice as long between data centres.
  base::Duration copy_setup = base::Milliseconds(3);
  double copy_tokens_per_ms = 5000;
  // Cost of the traffic of a copy, expressed as a delay.
  base::Duration copy_penalty = base::Milliseconds(10);
  // Copying fewer tokens takes longer than it saves.
  int64_t min_copied_tokens = 500;
  // Delay that is added in proportion to the failure rate; this much if all
  // requests fail.
  base::Duration failure_penalty = base::Milliseconds(800);
  // Whether the age of the load that peers report is reckoned with, so that
  // many processes don't choose the same backend server at one moment.
  bool even_load = false;

  bool operator==(const PlacementSettings&) const = default;
};

struct PlacementQuery {
  base::ServiceId service;
  // Null for a plain service.
  const Prompt* prompt = nullptr;
  // Never chosen.
  std::set<base::BackendServerId> excluded;
  base::Duration objective{};
  // Whether a prefill engine may prefill the prompt for a decode engine.
  bool may_hand_over = true;
  // The software version that began the stream, which only backend servers of
  // that version continue. Any version may prefill the prompt.
  std::optional<std::string> software_version;
  // Which of several backend servers that are about equally good is chosen; see
  // EvenDraws.
  double draw = 0;
};

// The backend server that a request goes to first.
struct Placement {
  BackendEntry target;
  // The target only prefills the prompt; ChooseDecodeEngine then chooses the
  // engine that generates.
  bool prefill_only = false;
  // Prompt tokens that are probably not cached at the engine that prefills the
  // prompt.
  int64_t missing_tokens = 0;
  // Work of prefilling them, in tokens of a short prompt.
  int64_t prefill_work = 0;
  // Engine from which the target copies the KV cache of the shared prefix
  // before it prefills the rest.
  std::optional<BackendEntry> copy_from;
  // Expected time until the first event or the answer.
  base::Duration expected{};
  // The same if the target is as fast as its data sheet says.
  base::Duration at_full_speed{};
  // Time that the target needs for what is ahead of this request: prefills, and
  // the slot that it waits for.
  base::Duration work_ahead{};
  // The same as requests, and as prefill work in tokens of a short prompt.
  int64_t requests_ahead = 0;
  int64_t tokens_ahead = 0;
  // Whether a backend server with a lower estimated cost was passed over, as
  // other processes probably choose it at the same moment.
  bool passed_over_lowest = false;

  bool operator==(const Placement&) const = default;
};

// No backend server can serve the request.
struct NoBackend {
  std::string reason;

  bool operator==(const NoBackend&) const = default;
};

using PlacementResult = std::variant<Placement, NoBackend>;

// Chooses the backend server of each attempt by the lowest estimated cost.
class Placer {
 public:
  // The referenced objects must outlive the placer.
  Placer(const PlacementSettings& settings,
         const BackendDirectory& directory,
         const BackendHealth& health,
         const BackendRateLimits& rate_limits,
         const SilenceDetector& silence,
         const FleetLoad& load,
         const PrefixCacheTracker& prefix_cache,
         const ReportedLoad& reported_load);

  // Sets the speeds that are assumed of a service's backend servers.
  void SetSpeeds(const base::ServiceId& service, const EngineSpeeds& speeds);

  PlacementResult Choose(const PlacementQuery& query, base::Instant now) const;

  // Chooses the decode engine that takes over the KV cache from
  // `prefill_engine`.
  PlacementResult ChooseDecodeEngine(const PlacementQuery& query,
                                     const BackendEntry& prefill_engine,
                                     base::Instant now) const;

  // Reports on every backend server of the service, in the order of their ids,
  // by the same estimates as Choose. Changes nothing.
  std::vector<CandidateReport> Report(const PlacementQuery& query,
                                      base::Instant now) const;

  // Returns whether a backend server that isn't excluded could serve the
  // request. Prefill engines don't count.
  bool HasAlternative(const PlacementQuery& query, base::Instant now) const;

 private:
  // Preferred engines for the shared prefix of one prompt.
  struct PrefixAffinity {
    std::vector<PrefixKey> keys;
    // Engine that has prefilled most of the prefix, and how many tokens.
    const BackendEntry* source = nullptr;
    int64_t source_tokens = 0;
    const BackendEntry* first = nullptr;
    const BackendEntry* second = nullptr;
    // Penalty factor for a prefill at the second affinity engine.
    double penalty_factor = 0;
  };
  struct Estimate {
    const BackendEntry* entry = nullptr;
    const BackendEntry* copy_from = nullptr;
    int64_t missing_tokens = 0;
    int64_t prefill_work = 0;
    int64_t requests_ahead = 0;
    int64_t tokens_ahead = 0;
    base::Duration work_ahead{};
    // See CandidateCost, also for the next one.
    base::Duration turnover{};
    base::Duration usual_cost{};
    // Expected time until the first event: at data sheet speed, and at the
    // engine's observed speed.
    base::Duration at_full_speed{};
    base::Duration wait{};
    // The wait plus all penalties.
    base::Duration cost{};
    bool passed_over_lowest = false;
  };
  using Candidates = std::vector<const BackendEntry*>;

  std::optional<Exclusion> WhyExcluded(const BackendEntry& entry,
                                       const PlacementQuery& query,
                                       base::Instant now) const;
  bool IsHealthy(const BackendEntry& entry, base::Instant now) const;
  Candidates FindCandidates(const PlacementQuery& query,
                            base::Instant now) const;
  const EngineSpeeds& SpeedsOf(const BackendEntry& entry) const;
  // Returns the prompt tokens per millisecond that the engine prefills.
  double PrefillRate(const BackendEntry& entry) const;
  // Returns whether the decode engine of `direct` should prefill the prompt
  // rather than the engine of `prefill`.
  bool PrefersDirect(const Estimate& direct, const Estimate& prefill) const;
  // Returns the time until one of a decode engine's slots is free.
  base::Duration SlotWait(const BackendEntry& entry,
                          const BackendLoad& present) const;
  Estimate EstimatePlain(const BackendEntry& entry, base::Instant now) const;
  Estimate EstimateEngine(const BackendEntry& entry,
                          const Prompt& prompt,
                          const PrefixAffinity& prefix_cache,
                          base::Instant now) const;
  // Returns the work of prefilling `missing` tokens after `cached` ones, in
  // tokens.
  int64_t PrefillWork(int64_t missing, int64_t cached) const;
  // Returns the penalty factor for a prefill at the second affinity engine
  // under the current load.
  double AffinityPenaltyFactor(const Candidates& engines,
                               base::Instant now) const;
  PrefixAffinity FindAffinity(const Candidates& candidates,
                              const Prompt& prompt,
                              base::Instant now) const;
  // Finds the engine to copy the shared prefix from.
  void FindCopySource(PrefixAffinity& affinity, base::Instant now) const;
  base::Duration CopyTime(const BackendEntry& from,
                          const BackendEntry& to,
                          int64_t tokens) const;
  // Returns how many times longer than usual work takes at a backend server, by
  // what was observed and by what it says itself.
  double SlownessOf(const BackendEntry& entry, base::Instant now) const;
  // Returns the estimate of the candidate that is chosen, one with the lowest
  // cost as far as is known; none if there are none.
  Estimate ChooseEstimate(const std::vector<Estimate>& estimates,
                          const PlacementQuery& query,
                          base::Instant now) const;
  // Returns the estimate of the candidate that is chosen for the prompt.
  Estimate BestEngine(const Candidates& candidates,
                      const PlacementQuery& query,
                      base::Instant now) const;
  // Returns the prefill engines among the candidates that may prefill the
  // prompt.
  Candidates PrefillEngines(const Candidates& candidates,
                            const Prompt& prompt) const;
  // Estimates a decode engine that takes over the KV cache from
  // `prefill_engine`.
  Estimate EstimateDecode(const BackendEntry& entry,
                          const BackendEntry& prefill_engine,
                          base::Instant now) const;
  static Placement ToPlacement(const Estimate& estimate);
  CostTerms TermsOf(const Estimate& estimate, base::Instant now) const;
  // Returns the terms of the candidates for each step of the request that they
  // can take: the prefill, or the whole request.
  std::map<base::BackendServerId, CostTerms> TermsOfAll(
      const Candidates& candidates,
      const PlacementQuery& query,
      base::Instant now) const;
  base::Duration Penalty(const BackendEntry& entry, base::Instant now) const;
  PlacementResult ChoosePlain(const Candidates& candidates,
                              const PlacementQuery& query,
                              base::Instant now) const;
  PlacementResult ChooseEngine(const Candidates& candidates,
                               const PlacementQuery& query,
                               base::Instant now) const;

  PlacementSettings settings;
  std::map<base::ServiceId, EngineSpeeds> speeds;
  const BackendDirectory& directory;
  const BackendHealth& health;
  const BackendRateLimits& rate_limits;
  const SilenceDetector& silence;
  const FleetLoad& load;
  const PrefixCacheTracker& prefix_cache;
  const ReportedLoad& reported_load;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PLACEMENT_H_
