#ifndef CARAWAYVALVE_CONFIG_RATE_LIMIT_H_
#define CARAWAYVALVE_CONFIG_RATE_LIMIT_H_

#include <cstdint>

namespace carawayvalve::config {

// What a rate limit counts. A request's tokens are those of its prompt and the
// most that it may generate.
enum class RateUnit { kRequests, kTokens };

// Limits the requests of a client account that run, over all entry processes
// together: in any span of time at most `per_second` for each second of it,
// plus `burst`.
struct AccountRateLimit {
  RateUnit unit = RateUnit::kRequests;
  double per_second = 1;
  // A request that counts more than this, with what the deployment tolerates,
  // never runs.
  int64_t burst = 1;
  // What a request counts that names no tokens; only for tokens.
  int64_t default_tokens = 1;

  bool operator==(const AccountRateLimit&) const = default;
};

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_RATE_LIMIT_H_
