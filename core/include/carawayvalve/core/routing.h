#ifndef CARAWAYVALVE_CORE_ROUTING_H_
#define CARAWAYVALVE_CORE_ROUTING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/prefix_index.h"

namespace carawayvalve::core {

// State of one backend server from its agent's last status.
struct BackendView {
  base::BackendServerId backend_server;
  base::ServiceId service;
  base::DataCentreId data_centre;
  bool ready = false;
  bool leaving = false;
  int64_t queued_requests = 0;
  int64_t running_requests = 0;
  // Maximum number of concurrent requests.
  int64_t slots = 1;
  // Requests that are started a second at most; nothing for any number.
  std::optional<double> requests_per_second;
  int64_t queued_prefill_tokens = 0;
  // Zero if the rate isn't known.
  int64_t prefill_tokens_per_second = 0;
  int64_t decode_tokens_per_second = 0;
  config::EngineRole role = config::EngineRole::kMixed;
  std::vector<base::ModelId> models;
  // Empty if it reports none.
  std::string software_version;
  // Time on this process's clock at which the status was received.
  base::Instant reported;

  bool operator==(const BackendView&) const = default;
};

// Part of a request for which a backend server is chosen.
enum class RequestStage {
  kWhole,
  kPrefill,
  kDecode,  // the prompt's KV cache is transferred along with it
};

// Requirements of a request for its backend server.
struct RoutingQuery {
  base::ServiceId service;
  // Empty for a plain service.
  std::optional<base::ModelId> model;
  RequestStage stage = RequestStage::kWhole;
  int64_t prompt_tokens = 0;
  std::vector<PrefixHash> prefix_hashes;
  // The software version that began the answer; no other one is chosen.
  std::optional<std::string> software_version;
  // Chosen only if no other backend server can serve the request.
  std::set<base::BackendServerId> excluded;
};

struct RoutingChoice {
  base::BackendServerId backend_server;
  // Expected time until the first token, or until a plain service starts.
  base::Duration expected_wait{};
  // Prompt tokens that are probably not cached there.
  int64_t missing_tokens = 0;

  bool operator==(const RoutingChoice&) const = default;
};

// No backend server of the service is ready for the request.
struct NoBackendReady {
  std::string reason;

  bool operator==(const NoBackendReady&) const = default;
};

using RoutingResult = std::variant<RoutingChoice, NoBackendReady>;

// Chooses the shortest expected wait among two random backend servers and the
// one with the longest cached prefix.
struct ExpectedWaitPolicy {
  bool operator==(const ExpectedWaitPolicy&) const = default;
};

struct RoundRobinPolicy {
  bool operator==(const RoundRobinPolicy&) const = default;
};

struct RandomPolicy {
  bool operator==(const RandomPolicy&) const = default;
};

using RoutingPolicy =
    std::variant<ExpectedWaitPolicy, RoundRobinPolicy, RandomPolicy>;

// Parses the name of a policy: expected-wait, round-robin or random. Throws
// base::Error for any other name.
RoutingPolicy ParseRoutingPolicy(const std::string& name);

struct RoutingSettings {
  RoutingPolicy policy;
  base::DataCentreId data_centre;
  // Delay that another data centre adds to the first answer.
  base::Duration cross_data_centre_delay = base::Milliseconds(3);
  // Maximum age of the figures in a status when it is received.
  base::Duration max_report_lag = base::Milliseconds(200);
  // Backend servers whose status is older are chosen only if none has a newer
  // one.
  base::Duration max_status_age = std::chrono::seconds(5);
  // Used when a backend server's rates aren't known.
  int64_t prefill_tokens_per_second = 10000;
  int64_t decode_tokens_per_second = 1000;
  int64_t output_tokens = 256;
  base::Duration plain_request_duration = base::Milliseconds(50);
  // Prefills up to this size may go to a decode engine, with a penalty for the
  // streams that they slow down.
  int64_t small_prefill_tokens = kTokensPerPiece;
  base::Duration decode_engine_penalty = base::Milliseconds(200);
  PrefixIndex::Settings prefixes;

  bool operator==(const RoutingSettings&) const = default;
};

// Chooses the backend server of each attempt. Attempts that this process has
// sent since a status was taken are added to that status, so that a burst
// doesn't go to one idle backend server.
class Router {
 public:
  using Generator = std::mt19937_64;

  explicit Router(const RoutingSettings& settings);

  void Update(const BackendView& view);
  void Remove(const base::BackendServerId& backend_server);
  const std::map<base::BackendServerId, BackendView>& views() const {
    return this->known;
  }

  // Never chooses a backend server that is leaving or not ready.
  RoutingResult Choose(const RoutingQuery& query,
                       base::Instant now,
                       Generator& generator);

  // Counts an attempt at the chosen backend server until a status includes it.
  void NoteSent(const base::AttemptId& attempt,
                const RoutingChoice& choice,
                base::Instant now);
  // Records that the attempt has ended or was never delivered.
  void NoteEnded(const base::AttemptId& attempt);

  // Returns the expected wait at a backend server, which must be known.
  RoutingChoice Estimate(const base::BackendServerId& backend_server,
                         const RoutingQuery& query,
                         base::Instant now) const;

  PrefixIndex& prefixes() { return this->prefix_index; }

 private:
  struct SentAttempt {
    base::AttemptId attempt;
    base::Instant at;
    int64_t prefill_tokens = 0;
  };

  using Candidates = std::vector<const BackendView*>;

  Candidates FindCandidates(const RoutingQuery& query, base::Instant now) const;
  int RankOf(const BackendView& view,
             const RoutingQuery& query,
             base::Instant now) const;
  RoutingChoice EstimateAt(const BackendView& view,
                           const RoutingQuery& query,
                           int64_t cached_tokens,
                           base::Instant now) const;
  double PrefillTokensAhead(const BackendView& view, base::Instant now) const;
  double SecondsUntilSlot(const BackendView& view, bool model) const;
  // Returns the time until a backend server that limits its requests starts
  // the next one.
  double SecondsAtLimit(const BackendView& view) const;
  const std::vector<SentAttempt>& SentTo(
      const base::BackendServerId& backend_server) const;

  RoutingChoice Pick(const ExpectedWaitPolicy& policy,
                     const Candidates& candidates,
                     const RoutingQuery& query,
                     base::Instant now,
                     Generator& generator);
  RoutingChoice Pick(const RoundRobinPolicy& policy,
                     const Candidates& candidates,
                     const RoutingQuery& query,
                     base::Instant now,
                     Generator& generator);
  RoutingChoice Pick(const RandomPolicy& policy,
                     const Candidates& candidates,
                     const RoutingQuery& query,
                     base::Instant now,
                     Generator& generator);

  RoutingSettings settings;
  PrefixIndex prefix_index;
  std::map<base::BackendServerId, BackendView> known;
  std::unordered_map<base::BackendServerId, std::vector<SentAttempt>> sent;
  std::unordered_map<base::AttemptId, base::BackendServerId> sent_to;
  // Last choice for each service, for the round-robin policy.
  std::unordered_map<base::ServiceId, base::BackendServerId> last_choices;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROUTING_H_
