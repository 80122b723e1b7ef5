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

// Enforces an entry process's limits on requests: admission limits of accounts,
// the retry budget, and the quarantine of contents that crash backend servers.
// Thread-safe.
class TrafficControl {
 public:
  explicit TrafficControl(const base::BootId& entry);

  // Sets the accounts and their limits.
  void SetAccounts(const std::vector<config::ClientAccount>& accounts);
  // Sets how many entry processes share the limits, including this one.
  void SetProcessCount(int64_t count);
  // Admits or refuses a request. Release must be called for each admitted one
  // when it ends.
  core::AdmissionResult Admit(const base::ClientAccountId& account,
                              base::Duration expected_wait,
                              base::Instant deadline);
  void Release(const base::ClientAccountId& account, base::Duration duration);

  // Takes one retry from the budget; returns false if none is left.
  bool TrySpendRetry();

  // Records that a backend server crashed while it ran the content.
  void NoteCrash(const core::RequestContent& content,
                 const std::string& death_id);
  // Records that a request with these parts was answered completely.
  void NoteServed(const std::vector<std::string>& parts);
  // Counts a request with these parts as traffic, once.
  void NoteRequest(const std::vector<std::string>& parts);
  void MergeCrashRecords(const std::vector<core::CrashRecord>& records);
  void MergeServedParts(const std::vector<core::ServedPart>& parts);
  std::vector<core::CrashRecord> CrashRecords() const;
  // Returns the suspected parts that were served.
  std::vector<core::ServedPart> ServedParts() const;
  int CountCrashes(const std::string& content_digest) const;
  // Decides whether the content may be sent to a backend server now, see
  // PoisonRequestTracker::Admit.
  core::ContentAdmission AdmitContent(
      const core::RequestContent& content,
      const core::PoisonRequestTracker::MayTry& may_try);
  // Returns for how long the content is still refused, nothing if it isn't.
  std::optional<base::Duration> QuarantineLeft(
      const core::RequestContent& content) const;

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
