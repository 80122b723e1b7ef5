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
  // How long a window is open, and how long after its end its usage is awaited
  // before it is sealed. Both by the clock of one holder: a successor waits
  // anew for the whole time.
  base::Duration window_length = std::chrono::seconds(60);
  base::Duration grace_period = std::chrono::seconds(30);
  // The longest time that the sending of one report takes.
  base::Duration report_timeout = std::chrono::seconds(3);
  // Between two sendings of a report; doubles up to `max_report_backoff`.
  base::Duration min_report_backoff = std::chrono::seconds(1);
  base::Duration max_report_backoff = std::chrono::seconds(30);
  // A window with so many counters is closed early, as its object must stay
  // below the store's limit of a megabyte.
  size_t max_counters = 10000;
  // Objects of so many reported windows are kept for late usage.
  int64_t kept_windows = 1440;

  bool operator==(const UsageReporterOptions&) const = default;
};

// Time passes, and calls that brought nothing may be made again.
struct UsageTick {};

// Answers ReadUsageObject; `object` is empty when it is absent.
struct UsageObjectRead {
  std::optional<UsageObject> object;
  int64_t version = 0;
};

// Answers WriteUsageObject and DeleteUsageObject; `version` is that of the
// written object.
struct UsageWriteDone {
  int64_t version = 0;
};

// Answers them when the object had another version.
struct UsageWriteConflict {};

// Answers them when it isn't known whether they took, or will yet take, effect.
struct UsageWriteUncertain {};

// Answers a read that brought nothing, and a write that certainly had no
// effect.
struct UsageCallFailed {};

// Answers GatherUsage, whatever it brought.
struct UsageGathered {};

// Answers SendUsageReport.
struct UsageReportAccepted {};

// Answers it when the interface has other figures under this id.
struct UsageReportRefused {};

// Answers it when the interface gave no answer.
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
  // The version that the object must have, 0 for absent.
  int64_t if_version = 0;

  bool operator==(const WriteUsageObject&) const = default;
};

struct DeleteUsageObject {
  UsageObjectId id;
  int64_t if_version = 0;

  bool operator==(const DeleteUsageObject&) const = default;
};

// Collects, from other collectors too, what is known of the windows up to
// this one.
struct GatherUsage {
  int64_t window = 0;

  bool operator==(const GatherUsage&) const = default;
};

// The lease is to be checked right before, and the call must fit into what is
// left of it.
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
// usage duty, and goes on from the objects that earlier holders left.
//
// Two that both believe they are the holder do no harm to the figures. A seal
// is only ever created, from counters that a conditional write has just put
// into the store, and a report depends on its seal alone. The progress moves
// on only by writes of the highest epoch that has touched it, and no window is
// sealed before the seals ahead of it are accounted for in the parts.
//
// What remains: a process that is paused between the last check of the lease
// and the first byte of a report sends that report after its lease has ended,
// as late as the pause was long. A process that runs can't: the call ends
// within report_timeout and within what the lease had left at the check. Such
// a late report has the figures and the id of the seal, so it repeats what a
// successor sends and can't contradict it.
class UsageReporter {
 public:
  // `epoch` must rise from holder to holder.
  UsageReporter(const base::RegionId& region,
                 const UsageWriter& self,
                 const UsageReporterOptions& options);

  void SetOptions(const UsageReporterOptions& changed) { this->options = changed; }

  // Returns the next call to make; nothing until the next tick when there is
  // none. Each call is answered by one event, or given up by a tick.
  std::optional<UsageAction> Step(const UsageEvent& event,
                                  const UsageCollection& collected,
                                  base::Instant now);

  int64_t epoch() const { return this->self.epoch; }
  // A holder with a higher epoch has been seen; nothing more will be done.
  bool superseded() const { return this->is_superseded; }
  // As this holder last wrote it; nothing before that.
  const UsageProgress* progress() const {
    return this->owns_progress ? &this->current_progress : nullptr;
  }

 private:
  using Action = std::optional<UsageAction>;

  struct VersionedPart {
    UsagePart part;
    int64_t version = 0;
  };

  // The sealing of one window. The progress stays as it is until the end.
  struct SealingRound {
    int64_t window = 0;
    bool gathered = false;
    // The windows whose usage the seal is to carry.
    std::set<int64_t> windows;
    std::set<int64_t> to_merge;
    // What this holder would seal, or the seal that exists.
    std::optional<UsageSeal> seal;
    bool seal_created = false;
    bool seal_needs_read = false;
    std::set<int64_t> to_apply;
    // Windows of which every counter is in a seal.
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
  // The write under way may or may not have taken effect.
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
  // These read the part first when it isn't known.
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
  // No further call before the next tick.
  bool waits_for_tick = false;
  std::optional<UsageAction> in_flight;
  // Of the collection that the part under way was merged from.
  int64_t merging_revision = 0;

  // The progress is known once it was read, and is this holder's to move on
  // once it has written it.
  bool progress_read = false;
  bool owns_progress = false;
  UsageProgress current_progress;
  int64_t progress_version = 0;
  std::optional<base::Instant> first_read;

  std::map<int64_t, VersionedPart> parts;
  // The collection's revision of each window as it was last found to be in
  // the store.
  std::map<int64_t, int64_t> stored_revisions;
  std::optional<SealingRound> round;
  // Of the window to be reported next, once it is known.
  std::optional<UsageSeal> seal;
  // Whether the interface has taken the report of that window.
  enum class SendResult { kNone, kAccepted, kRefused };
  SendResult send_result = SendResult::kNone;
  base::Instant send_at;
  base::Duration send_backoff{};

  int64_t last_open_window = 0;
  base::Instant open_since;
  std::map<int64_t, base::Instant> closed_at;
  // Of the object that is to be deleted next, and whether the part of its
  // window is gone.
  std::optional<int64_t> deletion_version;
  bool part_deleted = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_REPORTER_H_
