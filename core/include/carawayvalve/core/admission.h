#ifndef CARAWAYVALVE_CORE_ADMISSION_H_
#define CARAWAYVALVE_CORE_ADMISSION_H_

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

enum class AdmissionRefusal {
  kAccountLimit,  // the account has reached its limit in flight
  kProcessFull,   // the process has no free slot for the account
  kTooLate,       // the deadline would pass before the first answer
};

struct Admitted {
  bool operator==(const Admitted&) const = default;
};

struct NotAdmitted {
  AdmissionRefusal refusal = AdmissionRefusal::kAccountLimit;
  std::string reason;
  base::Milliseconds retry_after{0};

  bool operator==(const NotAdmitted&) const = default;
};

using AdmissionResult = std::variant<Admitted, NotAdmitted>;

// Admission control of an entry process: decides which requests it accepts. A
// request that is refused here has not run.
class Admission {
 public:
  using Generator = std::mt19937_64;

  struct Settings {
    // Maximum number of requests that fit in the memory of the process.
    int64_t max_in_flight = 4000;
    // An account may have in flight up to this multiple of the slots that are
    // still free, so that one account can't fill the process alone.
    int64_t share_of_free = 2;

    bool operator==(const Settings&) const = default;
  };

  explicit Admission(const Settings& settings);

  // Replaces the limits of all accounts. An account's limit applies to all
  // `processes` entry processes together; each process enforces its share,
  // doubled, because the load balancer doesn't spread an account evenly.
  void SetLimits(const std::vector<config::ClientAccount>& accounts,
                 int64_t processes);

  // Admits or refuses a request and counts it as in flight if it is admitted.
  // `expected_wait` is the expected wait at the backend server that would get
  // it. Accounts without a limit, such as the empty account of open routes, are
  // bounded only by the capacity of the process.
  AdmissionResult Admit(const base::ClientAccountId& account,
                        base::Duration expected_wait,
                        base::Instant deadline,
                        base::Instant now,
                        Generator& generator);

  // Records that an admitted request has ended after `duration`.
  void Release(const base::ClientAccountId& account, base::Duration duration);

  int64_t in_flight() const { return this->total_in_flight; }
  int64_t InFlightOf(const base::ClientAccountId& account) const;

 private:
  struct Account {
    int64_t in_flight = 0;
    // Moving average.
    base::Duration request_duration = std::chrono::seconds(1);
  };

  // Returns the expected time until one of the account's requests ends.
  base::Duration ExpectedTimeToSlot(const base::ClientAccountId& account) const;

  Settings settings;
  std::unordered_map<base::ClientAccountId, int64_t> limits;
  std::unordered_map<base::ClientAccountId, Account> accounts;
  int64_t total_in_flight = 0;
};

// Returns a Retry-After time for capacity that is expected to be free after
// `until_free`: clamped to between one second and one minute, plus random
// jitter of up to half of it, so that refused callers don't all retry at once.
base::Milliseconds JitteredRetryAfter(base::Duration until_free,
                                      std::mt19937_64& generator);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ADMISSION_H_
