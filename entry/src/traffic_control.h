#ifndef CARAWAYVALVE_ENTRY_SRC_TRAFFIC_CONTROL_H_
#define CARAWAYVALVE_ENTRY_SRC_TRAFFIC_CONTROL_H_

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/admission.h"
#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve/core/retry_budget.h"

namespace carawayvalve::entry {

// What an entry process holds its requests to: limits of accounts, the budget
// of retries, contents that crash backend servers. Safe to call from several
// threads.
class TrafficControl {
 public:
  explicit TrafficControl(const base::BootId& entry);

  // Takes the accounts' limits from a configuration.
  void SetAccounts(const std::vector<config::ClientAccount>& accounts);
  // How many entry processes share these limits, this one included.
  void SetProcessCount(int64_t count);
  core::AdmissionResult Admit(const base::ClientAccountId& account,
                              base::Duration expected_wait,
                              base::Instant deadline);
  void Release(const base::ClientAccountId& account, base::Duration duration);

  // Returns false when no retry is left to spend.
  bool TrySpendRetry();

  void NoteCrash(const std::string& content_digest,
                 const std::string& death_id);
  void MergeCrashRecords(const std::vector<core::CrashRecord>& records);
  std::vector<core::CrashRecord> CrashRecords() const;
  int CountCrashes(const std::string& content_digest) const;
  // For how long the content is refused, nothing when it isn't.
  std::optional<base::Duration> QuarantineLeft(
      const std::string& content_digest) const;

 private:
  mutable std::mutex mutex;
  core::Admission admission;
  std::vector<config::ClientAccount> accounts;
  int64_t process_count = 1;
  core::RetryBudget retry_budget;
  core::PoisonRequestTracker poison_requests;
  std::mt19937_64 generator;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_TRAFFIC_CONTROL_H_
