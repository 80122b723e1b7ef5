#ifndef CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_
#define CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// The backend server takes requests at any rate.
struct NoRateLimit {
  bool operator==(const NoRateLimit&) const = default;
};

// The backend server takes this many requests a second from all processes
// together.
struct RateLimit {
  double per_second = 0;

  bool operator==(const RateLimit&) const = default;
};

// What an answer of a backend server says about the rate of its requests.
using RateStatement = std::variant<NoRateLimit, RateLimit>;

// What one run of a backend server has said.
struct BackendRateStatement {
  base::BackendServerId id;
  // The start of that run in Unix milliseconds.
  int64_t started_ms = 0;
  RateStatement statement;
  // When the answer arrived that says so.
  base::Instant stated;

  bool operator==(const BackendRateStatement&) const = default;
};

// Knows which backend servers limit the rate of their requests. A limit holds
// until the same run says in a later answer that there is none, or until the
// backend server has restarted.
class BackendRateLimits {
 public:
  // Records a statement unless a newer one, or one of a later run, is known.
  // Returns whether the limit has changed.
  bool NoteStatement(const BackendRateStatement& statement);

  // Returns the limit of a backend server.
  RateStatement StatementOf(const base::BackendServerId& id) const;

  // Drops what is known of a backend server, as it is gone.
  void Forget(const base::BackendServerId& id) { this->records.erase(id); }

 private:
  std::map<base::BackendServerId, BackendRateStatement> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_
