#ifndef CARAWAYVALVE_CORE_PLACEMENT_H_
#define CARAWAYVALVE_CORE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/backend_health.h"
#include "carawayvalve/core/caller_request.h"
#include "carawayvalve/core/fleet_load.h"
#include "carawayvalve/core/prefix_cache_tracker.h"
#include "carawayvalve/core/silence_watch.h"

namespace carawayvalve::core {

struct PlacementSettings {
  base::DataCentreId data_centre;
  // Prompt tokens that a prefill engine reads in a millisecond, and a decode
  // engine between the tokens of what it runs; from the engines' data sheet.
  double prefill_tokens_per_ms = 48.2;
  double decode_tokens_per_ms = 24.1;
  // Each token is set against all before it: a million such pairs take as long
  // to read as so many tokens; from the engines' data sheet.
  double tokens_per_million_pairs = 12;
  // From the end of the prompt to the first event.
  base::Duration first_event = base::Milliseconds(14);
  // Each running request makes a step of its engine longer.
  base::Duration step_per_request = base::Milliseconds(1);
  // What the bytes to another data centre are worth, as a delay.
  base::Duration cross_data_centre_penalty = base::Milliseconds(6);
  // How much longer a shared beginning may take at its first home before its
  // second home reads it too, as a multiple of the time that reading it takes;
  // twice as much for any other engine. Rises with the work that waits at the
  // engines: a further reading costs little while they have time, and delays
  // all that comes after it while they don't.
  double min_affinity_penalty = 0.5;
  double max_affinity_penalty = 4;
  // The mean work that waits at an engine for which the multiple is one.
  base::Duration unit_penalty_backlog = base::Milliseconds(75);
  // Prompts of up to so many tokens are short. A share of the reading engines
  // reads nothing else, so that short prompts never wait behind long ones,
  // which take ten times as long.
  int64_t short_prompt_tokens = 4096;
  double short_prompt_engine_share = 0.15;
  // Handing the KV cache over takes this long beside its bytes.
  base::Duration handover = base::Milliseconds(8);
  // A decode engine reads so many tokens of a prompt itself: less than its
  // streams would notice, and than handing the KV cache over costs.
  int64_t max_direct_prefill_tokens = 300;
  // Copying the KV cache of a shared beginning from another engine takes this
  // long beside its tokens, each so many a millisecond: 740 Gbit/s at 18 KB a
  // token, from the engines' data sheet. Twice as long between data centres.
  base::Duration copy_setup = base::Milliseconds(3);
  double copy_tokens_per_ms = 5000;
  // What the bytes of a copy are worth, as a delay.
  base::Duration copy_penalty = base::Milliseconds(10);
  // A copy of fewer tokens saves less time than it takes.
  int64_t min_copied_tokens = 500;
  // The mean time of a plain request.
  base::Duration plain_request_duration = base::Milliseconds(40);
  // Failures count as a delay: this much if all requests fail.
  base::Duration failure_penalty = base::Milliseconds(800);

  bool operator==(const PlacementSettings&) const = default;
};

struct PlacementQuery {
  base::ServiceId service;
  // None for a plain service.
  const Prompt* prompt = nullptr;
  // Not to be chosen again.
  std::set<base::BackendServerId> excluded;
  base::Duration objective{};
  // A prefill engine may read the prompt for a decode engine.
  bool may_hand_over = true;
};

// The backend server that a request goes to first.
struct Placement {
  BackendEntry target;
  // The target only reads the prompt; ChooseDecodeEngine says who goes on.
  bool prefill_only = false;
  // Prompt tokens that are probably not cached where the prompt is read.
  int64_t missing_tokens = 0;
  // What reading them takes, in tokens of a short prompt.
  int64_t prefill_work = 0;
  // The engine from which the target copies the KV cache of the shared
  // beginning before it reads the rest.
  std::optional<BackendEntry> copy_from;
  // Until the first event or the answer.
  base::Duration expected{};
  // The same for a target that is as fast as its data sheet says.
  base::Duration at_full_speed{};
  // What the target has to read before this request.
  base::Duration work_ahead{};

  bool operator==(const Placement&) const = default;
};

// No backend server can take the request.
struct NoBackend {
  std::string reason;

  bool operator==(const NoBackend&) const = default;
};

using PlacementResult = std::variant<Placement, NoBackend>;

// Chooses the backend server of each attempt.
class Placer {
 public:
  // The beliefs must outlive the placer.
  Placer(const PlacementSettings& settings,
         const BackendDirectory& directory,
         const BackendHealth& health,
         const SilenceWatch& silence,
         const FleetLoad& load,
         const PrefixCacheTracker& prefix_cache);

  PlacementResult Choose(const PlacementQuery& query, base::Instant now) const;

  // Chooses the engine that takes the KV cache from `prefill_engine` and generates.
  PlacementResult ChooseDecodeEngine(const PlacementQuery& query,
                                     const BackendEntry& prefill_engine,
                                     base::Instant now) const;

  // Whether another backend server than the excluded ones could take it.
  bool HasAlternative(const PlacementQuery& query, base::Instant now) const;

 private:
  // What the prefix_cache of one prompt's shared beginning are.
  struct PrefixAffinity {
    std::vector<PrefixKey> keys;
    // The engine that has read most of it, and how many tokens.
    const BackendEntry* source = nullptr;
    int64_t source_tokens = 0;
    const BackendEntry* first = nullptr;
    const BackendEntry* second = nullptr;
    // For reading at the second home.
    double penalty_factor = 0;
  };
  struct Estimate {
    const BackendEntry* entry = nullptr;
    const BackendEntry* copy_from = nullptr;
    int64_t missing_tokens = 0;
    int64_t prefill_work = 0;
    base::Duration work_ahead{};
    // Until the first event; by the data sheet, and as fast as the engine is.
    base::Duration at_full_speed{};
    base::Duration wait{};
    // The wait and what else speaks against the choice.
    base::Duration cost{};
  };
  using Candidates = std::vector<const BackendEntry*>;

  Candidates FindCandidates(const PlacementQuery& query,
                            base::Instant now) const;
  Estimate EstimatePlain(const BackendEntry& entry, base::Instant now) const;
  Estimate EstimateEngine(const BackendEntry& entry,
                          const Prompt& prompt,
                          const PrefixAffinity& prefix_cache,
                          base::Instant now) const;
  // What it takes to read `missing` tokens behind `cached` ones, in tokens.
  int64_t PrefillWork(int64_t missing, int64_t cached) const;
  // The present price of reading at a second home.
  double AffinityPenalty(const Candidates& engines, base::Instant now) const;
  PrefixAffinity FindAffinity(const Candidates& candidates,
                  const Prompt& prompt,
                  base::Instant now) const;
  // Finds the engine to copy the shared beginning from.
  void FindCopySource(PrefixAffinity& affinity, base::Instant now) const;
  base::Duration CopyTime(const BackendEntry& from,
                          const BackendEntry& to,
                          int64_t tokens) const;
  // The cheapest of the candidates.
  Estimate BestEngine(const Candidates& candidates,
                      const Prompt& prompt,
                      base::Instant now) const;
  // The reading engines among the candidates that may read the prompt.
  Candidates PrefillEngines(const Candidates& candidates, const Prompt& prompt) const;
  // For a decode engine that gets the KV cache from `prefill_engine`.
  Estimate EstimateDecode(const BackendEntry& entry,
                          const BackendEntry& prefill_engine,
                          base::Instant now) const;
  static Placement ToPlacement(const Estimate& estimate);
  base::Duration Penalty(const BackendEntry& entry, base::Instant now) const;
  PlacementResult ChoosePlain(const Candidates& candidates,
                              base::Instant now) const;
  PlacementResult ChooseEngine(const Candidates& candidates,
                               const PlacementQuery& query,
                               base::Instant now) const;

  PlacementSettings settings;
  const BackendDirectory& directory;
  const BackendHealth& health;
  const SilenceWatch& silence;
  const FleetLoad& load;
  const PrefixCacheTracker& prefix_cache;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PLACEMENT_H_
