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
  kAccountLimit,  // the account has as many in flight as it may
  kProcessFull,   // the process has no room left for this account
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

// Decides at the door of an entry process which requests it takes on. A
// request that is refused here has not run.
class Admission {
 public:
  using Generator = std::mt19937_64;

  struct Settings {
    // Requests that the process has memory for.
    int64_t max_in_flight = 4000;
    // An account may have this many times what is still free, so that one
    // account can't fill the process alone.
    int64_t share_of_free = 2;

    bool operator==(const Settings&) const = default;
  };

  explicit Admission(const Settings& settings);

  // Takes the limits of each account from a configuration. An account's limit
  // is for all `processes` entry processes together; each holds to its part,
  // doubled, since the balancer doesn't spread an account evenly.
  void SetLimits(const std::vector<config::ClientAccount>& accounts,
                 int64_t processes);

  // Counts the request as in flight if it is admitted. `expected_wait` is that
  // of the backend server it would go to. Accounts without a limit, such as
  // the empty one of open routes, are held to the process's room only.
  AdmissionResult Admit(const base::ClientAccountId& account,
                        base::Duration expected_wait,
                        base::Instant deadline,
                        base::Instant now,
                        Generator& generator);

  // An admitted request has ended after `duration`.
  void Release(const base::ClientAccountId& account, base::Duration duration);

  int64_t in_flight() const { return this->total_in_flight; }
  int64_t InFlightOf(const base::ClientAccountId& account) const;

 private:
  struct Account {
    int64_t in_flight = 0;
    // A moving average.
    base::Duration request_duration = std::chrono::seconds(1);
  };

  // Until a request of the account is likely to have ended.
  base::Duration ExpectedTimeToSlot(const base::ClientAccountId& account) const;

  Settings settings;
  std::unordered_map<base::ClientAccountId, int64_t> limits;
  std::unordered_map<base::ClientAccountId, Account> accounts;
  int64_t total_in_flight = 0;
};

// Returns when to try again, given when there should be room: a second at
// least, a minute at most, and up to half as much again by chance, so that the
// refused don't all come back at once.
base::Milliseconds JitteredRetryAfter(base::Duration until_free,
                                    std::mt19937_64& generator);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ADMISSION_H_
