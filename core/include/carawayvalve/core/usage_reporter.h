#ifndef CARAWAYVALVE_CORE_USAGE_REPORTER_H_
#define CARAWAYVALVE_CORE_USAGE_REPORTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/usage_ledger.h"
#include "carawayvalve/core/usage_objects.h"

namespace carawayvalve::core {

struct UsageReporterOptions {
  // How long a window is open, and how long after its end late usage is awaited
  // before it is sealed. Both are measured by the holder; a successor starts
  // both again.
  base::Duration window_length = std::chrono::seconds(60);
  base::Duration grace_period = std::chrono::seconds(30);
  // The time limit of one call that sends a report.
  base::Duration report_timeout = std::chrono::seconds(3);
  // The backoff between attempts to send a report, doubled up to the maximum.
  base::Duration min_report_backoff = std::chrono::seconds(1);
  base::Duration max_report_backoff = std::chrono::seconds(30);
  // A window with this many counters is closed early, so that its object stays
  // below the store's limit of a megabyte.
  size_t max_counters = 10000;
  // The number of reported windows whose objects are kept for late usage.
  int64_t kept_windows = 1440;

  bool operator==(const UsageReporterOptions&) const = default;
};

// Time has passed: the call in flight is given up, and failed calls may be
// retried.
struct UsageTick {};

// Answers ReadUsageObject. `object` is empty when none is stored.
struct UsageObjectRead {
  std::optional<UsageObject> object;
  int64_t version = 0;
};

// Answers WriteUsageObject and DeleteUsageObject. `version` is that of the
// written object.
struct UsageWriteDone {
  int64_t version = 0;
};

// Answers a write or delete when the object had another version than expected.
struct UsageWriteConflict {};

// Answers a write or delete that may have taken effect, or may still do so.
struct UsageWriteUncertain {};

// Answers a read that failed, and a write or delete that certainly had no
// effect.
struct UsageCallFailed {};

// Answers GatherUsage, also when some collectors didn't answer.
struct UsageGathered {};

// Answers SendUsageReport when the interface accepted the report.
struct UsageReportAccepted {};

// Answers SendUsageReport when the interface has other figures under this id.
struct UsageReportRefused {};

// Answers SendUsageReport when the interface gave no answer.
struct UsageReportUnanswered {};

using UsageEvent = std::variant<UsageTick,
                                UsageObjectRead,
                                UsageWriteDone,
                                UsageWriteConflict,
                                UsageWriteUncertain,
                                UsageCallFailed,
                                UsageGathered,
                                UsageReportAccepted,
                                UsageReportRefused,
                                UsageReportUnanswered>;

struct ReadUsageObject {
  UsageObjectId id;

  bool operator==(const ReadUsageObject&) const = default;
};

struct WriteUsageObject {
  UsageObjectId id;
  UsageObject object;
  // The version that the object must have; 0 means that it must not exist.
  int64_t if_version = 0;

  bool operator==(const WriteUsageObject&) const = default;
};

struct DeleteUsageObject {
  UsageObjectId id;
  int64_t if_version = 0;

  bool operator==(const DeleteUsageObject&) const = default;
};

// Collects the usage of the windows up to this one from the agents and the
// other collectors.
struct GatherUsage {
  int64_t window = 0;

  bool operator==(const GatherUsage&) const = default;
};

// Sends a report. The caller checks the lease right before, and limits the call
// to the time left on it.
struct SendUsageReport {
  UsageReport report;

  bool operator==(const SendUsageReport&) const = default;
};

using UsageAction = std::variant<ReadUsageObject,
                                 WriteUsageObject,
                                 DeleteUsageObject,
                                 GatherUsage,
                                 SendUsageReport>;

// Closes, seals and reports the windows of one region for one holder of its
// usage duty, and resumes from the objects that earlier holders stored. A state
// machine without I/O: the caller makes the calls that Step returns.
//
// Concurrent holders can't corrupt the figures. A seal is created once and
// never changed, from counters that a compare-and-swap has just stored, and a
// report depends on its seal alone. Only writes of the highest epoch seen
// advance the progress, and a window is sealed only after the parts account
// for all earlier seals.
//
// A process that is paused between the last check of its lease and the first
// byte of a report still sends that report after the lease has expired, late
// by the length of the pause. A process that isn't paused can't, as the call is
// limited by report_timeout and by the time left on the lease at the check. The
// late report has the id and figures of the seal, so it duplicates the
// successor's report and can't contradict it.
class UsageReporter {
 public:
  // The epoch of `self` must be above that of every earlier holder.
  UsageReporter(const base::RegionId& region,
                const UsageWriter& self,
                const UsageReporterOptions& options);

  void SetOptions(const UsageReporterOptions& changed) {
    this->options = changed;
  }

  // Handles `event` and returns the next call to make, or nothing when there is
  // none before the next tick. Each call is answered by one event, or given up
  // by a tick.
  std::optional<UsageAction> Step(const UsageEvent& event,
                                  const UsageCollection& collected,
                                  base::Instant now);

  int64_t epoch() const { return this->self.epoch; }
  // Returns whether a holder with a higher epoch was seen. Step then returns no
  // more calls.
  bool superseded() const { return this->is_superseded; }
  // Returns the progress as this holder last wrote it, or null when it must be
  // read or written first.
  const UsageProgress* progress() const {
    return this->owns_progress ? &this->current_progress : nullptr;
  }

 private:
  using Action = std::optional<UsageAction>;

  struct VersionedPart {
    UsagePart part;
    int64_t version = 0;
  };

  // The sealing of one window. The stored progress changes only at its end.
  struct SealingRound {
    int64_t window = 0;
    bool gathered = false;
    // The windows whose usage goes into the seal.
    std::set<int64_t> windows;
    std::set<int64_t> to_merge;
    // The draft of this holder, or the stored seal once it has been read.
    std::optional<UsageSeal> seal;
    bool seal_created = false;
    bool seal_needs_read = false;
    std::set<int64_t> to_apply;
    // The windows whose usage is all in seals.
    std::set<int64_t> fully_sealed;
  };

  void On(const UsageTick& event, base::Instant now);
  void On(const UsageObjectRead& event, base::Instant now);
  void On(const UsageWriteDone& event, base::Instant now);
  void On(const UsageWriteConflict& event, base::Instant now);
  void On(const UsageWriteUncertain& event, base::Instant now);
  void On(const UsageCallFailed& event, base::Instant now);
  void On(const UsageGathered& event, base::Instant now);
  void On(const UsageReportAccepted& event, base::Instant now);
  void On(const UsageReportRefused& event, base::Instant now);
  void On(const UsageReportUnanswered& event, base::Instant now);

  void LoadProgress(const UsageObjectRead& event, base::Instant now);
  void LoadPart(int64_t window, const UsageObjectRead& event);
  void LoadSeal(int64_t window, const UsageObjectRead& event);
  // Drops cached state after a write that may or may not have taken effect.
  void InvalidateWritten(const WriteUsageObject& write);
  void RecordWritten(const WriteUsageObject& write, int64_t version);
  void RecordPartWritten(int64_t window, const UsagePart& part);
  void RecordDeleted(UsageObjectKind kind);
  void UpdateTimes(base::Instant now);
  bool IsExpired(int64_t window) const;

  Action Next(const UsageCollection& collected, base::Instant now);
  Action NextLate(const UsageCollection& collected);
  Action NextClose(const UsageCollection& collected, base::Instant now);
  Action NextStore(const UsageCollection& collected);
  Action NextSeal(const UsageCollection& collected, base::Instant now);
  Action NextInRound(const UsageCollection& collected);
  Action NextReport(base::Instant now);
  Action NextDelete();

  Action Read(const UsageObjectId& id) const;
  Action WriteProgress(const UsageProgress& changed) const;
  // MergePart and ApplySeal return a read when the part isn't cached.
  Action MergePart(int64_t window, const UsageCollection& collected);
  Action ApplySeal(int64_t window) const;
  Action WritePart(int64_t window, UsagePart part) const;
  Action CreateSeal();
  UsageSeal DraftSeal() const;
  Action CommitRound() const;

  base::RegionId region;
  UsageWriter self;
  UsageReporterOptions options;
  bool is_superseded = false;
  // Set after a failed call: no further call before the next tick.
  bool waits_for_tick = false;
  std::optional<UsageAction> in_flight;
  // The revision of the collection that the part being written was merged from.
  int64_t merging_revision = 0;

  // The progress is advanced only after it was read and then written once with
  // this holder's epoch.
  bool progress_read = false;
  bool owns_progress = false;
  UsageProgress current_progress;
  int64_t progress_version = 0;
  std::optional<base::Instant> first_read;

  std::map<int64_t, VersionedPart> parts;
  // The collection's revision of each window that the stored part is known to
  // include.
  std::map<int64_t, int64_t> stored_revisions;
  std::optional<SealingRound> round;
  // The seal of the window to be reported next, once known.
  std::optional<UsageSeal> seal;
  // The interface's answer to the report of that window.
  enum class SendResult { kNone, kAccepted, kRefused };
  SendResult send_result = SendResult::kNone;
  base::Instant send_at;
  base::Duration send_backoff{};

  int64_t last_open_window = 0;
  base::Instant open_since;
  std::map<int64_t, base::Instant> closed_at;
  // The version of the object to be deleted next, and whether the part of its
  // window has been deleted.
  std::optional<int64_t> deletion_version;
  bool part_deleted = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_REPORTER_H_
