#ifndef CARAWAYVALVE_CONFIG_SERVING_H_
#define CARAWAYVALVE_CONFIG_SERVING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/rate_limit.h"

namespace carawayvalve::config {

// Determines whether a route's request may be retried.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  // A model's answer as an event stream; retried only if it is resumable.
  kStream,
};

// The share of a route's requests that goes to one service.
struct ServiceShare {
  base::ServiceId service;
  int64_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// A route as a gateway serves it.
struct ServingRoute {
  base::RouteId name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // A broken stream may resume on another backend server.
  bool resumable = false;
  // Needs no key; its requests belong to no client account.
  bool open = false;
  // Never empty.
  std::vector<ServiceShare> services;
  // Maximum number of backend servers that one request is sent to.
  int64_t max_attempts = 1;
  // The caller gets a final answer after this time at the latest.
  base::Milliseconds timeout{30000};
  // Target time to the answer, or to the first event of a stream.
  base::Milliseconds objective{1000};
  // 0 is the most urgent.
  int64_t priority = 0;

  bool operator==(const ServingRoute&) const = default;
};

// Properties shared by all engines of a model service.
struct EngineTraits {
  // Tokens whose KV cache fits into an engine.
  int64_t kv_tokens = 0;

  bool operator==(const EngineTraits&) const = default;
};

struct ServingService {
  base::ServiceId name;
  // Only for model services.
  std::optional<EngineTraits> engine;

  bool operator==(const ServingService&) const = default;
};

struct ServingAccount {
  base::ClientAccountId name;
  std::vector<std::string> keys;
  // Overrides the priority of the requests' routes.
  std::optional<int64_t> priority;
  // Unlimited if absent.
  std::optional<AccountRateLimit> rate_limit;

  bool operator==(const ServingAccount&) const = default;
};

// Limits on the size and duration of callers' requests.
struct ServingLimits {
  int64_t max_header_bytes = 16 * 1024;
  int64_t max_body_bytes = 4 * 1024 * 1024;
  base::Milliseconds header_timeout{3000};
  base::Milliseconds idle_timeout{15000};

  bool operator==(const ServingLimits&) const = default;
};

// One version of everything that a gateway enforces.
struct ServingPlan {
  int64_t version = 0;
  std::vector<ServingRoute> routes;
  std::vector<ServingService> services;
  std::vector<ServingAccount> accounts;
  ServingLimits limits;

  bool operator==(const ServingPlan&) const = default;
};

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_SERVING_H_
