#ifndef CARAWAYVALVE_CONFIG_CONFIGURATION_H_
#define CARAWAYVALVE_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/rate_limit.h"

namespace carawayvalve::config {

// A tenant: limits, fair sharing and billing apply to its requests as a whole.
struct ClientAccount {
  base::ClientAccountId name;
  // Share of a busy backend server, relative to other accounts.
  int32_t weight = 1;
  int32_t max_requests_in_flight = 1000;
  // Unlimited if absent.
  std::optional<AccountRateLimit> rate_limit;

  bool operator==(const ClientAccount&) const = default;
};

// An API key of one account, stored as its SHA-256 digest.
struct Key {
  std::string sha256;
  base::ClientAccountId client_account;
  // The operators' name for the key, to distinguish the keys of an account.
  std::string label;

  bool operator==(const Key&) const = default;
};

enum class ServiceKind { kModel, kPlain };

// A group of interchangeable backend servers.
struct Service {
  base::ServiceId name;
  ServiceKind kind = ServiceKind::kPlain;
  // Models served by the engines; only for model services.
  std::vector<base::ModelId> models;
  // When first tokens (or answers) take longer than this, the service needs
  // more backend servers.
  int64_t target_first_answer_ms = 720;
  int32_t min_backend_servers = 1;
  int32_t max_backend_servers = 1;

  bool operator==(const Service&) const = default;
};

// Whether a route's request may be retried after a failure.
enum class Repeat {
  // Methods that HTTP defines as idempotent: GET, HEAD, OPTIONS, PUT, DELETE.
  kByMethod,
  kAlways,
  kNever,
};

// Sends the requests of one host name and path prefix to a service.
struct Route {
  base::RouteId name;
  // Empty for any host name.
  std::string host;
  std::string path_prefix;
  // Empty for all methods.
  std::vector<std::string> methods;
  base::ServiceId service;
  // An open route needs no key; its requests belong to no client account.
  bool open = false;
  Repeat repeat = Repeat::kByMethod;
  int64_t deadline_ms = 30000;

  bool operator==(const Route&) const = default;
};

enum class EngineRole { kMixed, kPrefill, kDecode };

// How the engines of one model service are divided between the roles.
struct EngineRule {
  base::ServiceId service;
  // Engines that stay in each role whatever the demand.
  int32_t min_prefill_engines = 0;
  int32_t min_decode_engines = 0;
  // Minimum time between two role changes of one engine.
  int64_t dwell_ms = 30000;
  // When false, every engine keeps the role it started with.
  bool change_roles = true;

  bool operator==(const EngineRule&) const = default;
};

// Upper limit of the setting for a request's body size, in bytes: half of a
// message between two processes (wire::kMaxMessageBytes), which carries the
// whole body. The other half is for the head (at most 1 MiB), framing, and the
// text generated so far when a model's answer resumes on another engine.
inline constexpr int64_t kMaxBodyBytes = 8 * 1024 * 1024;

struct Limits {
  int64_t max_body_bytes = 4 * 1024 * 1024;
  int64_t max_deadline_ms = 600000;
  int32_t max_queued_per_account = 256;
  // How long a process may go without confirming that its keys are current and
  // still accept them.
  int64_t staleness_limit_ms = 10000;
  // How long the load balancer takes to notice that a process isn't ready.
  int64_t balancer_delay_ms = 2000;
  int64_t usage_window_ms = 60000;
  int64_t usage_grace_ms = 30000;

  bool operator==(const Limits&) const = default;
};

// The part that operators declare; `declare` prints it and `apply` activates
// it.
struct Declaration {
  std::vector<ClientAccount> client_accounts;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<EngineRule> engine_rules;
  Limits limits;

  bool operator==(const Declaration&) const = default;
};

// The complete active configuration: the declaration and the granted keys.
struct Configuration {
  // Incremented with each accepted change; 0 before the first.
  int64_t generation = 0;
  Declaration declaration;
  std::vector<Key> keys;

  bool operator==(const Configuration&) const = default;
};

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_CONFIGURATION_H_
