#ifndef CARAWAYVALVE_CORE_USAGE_OBJECTS_H_
#define CARAWAYVALVE_CORE_USAGE_OBJECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/usage_ledger.h"

namespace carawayvalve::core {

// The writer of an object: a run of a process and its epoch (fencing token) as
// holder of the usage duty. A holder never overwrites an object with a higher
// epoch.
struct UsageWriter {
  base::BootId process;
  int64_t epoch = 0;

  bool operator==(const UsageWriter&) const = default;
};

// The progress of a region's windows, which are numbered from 1. The numbers
// only grow, and 0 <= reported <= sealed < open.
struct UsageProgress {
  UsageWriter writer;
  // The window that agents count into.
  int64_t open = 1;
  int64_t sealed = 0;
  int64_t reported = 0;
  // Closed windows that may have usage which isn't in any seal yet.
  std::set<int64_t> pending;
  // The window whose report is being sent and the epoch of its sender, 0 for
  // none. Written before the first attempt.
  int64_t sending = 0;
  int64_t sending_epoch = 0;
  // The number of reports that the usage interface refused because it had other
  // figures for them.
  int64_t refused_reports = 0;
  // Usage of earlier windows arrives too late and is dropped.
  int64_t kept_from = 1;
  // The objects of earlier windows have been deleted.
  int64_t cleared_to = 1;

  bool operator==(const UsageProgress&) const = default;
};

// The merged counters of one window, and the totals of them that seals already
// include. Both only grow.
struct UsagePart {
  UsageWriter writer;
  WindowUsage counters;
  AccountUsage sealed;

  bool operator==(const UsagePart&) const = default;
};

// The usage of one client account and window in a seal.
struct SealedLine {
  // The usage that this seal bills.
  UsageFigures figures;
  // The sum of this seal and all earlier ones.
  UsageFigures total;

  bool operator==(const SealedLine&) const = default;
};

using SealedLines = std::map<base::ClientAccountId, SealedLine>;

// The id and figures of one window's report. Immutable once created. Entries of
// other windows are corrections: usage that arrived after those windows were
// sealed.
struct UsageSeal {
  UsageWriter writer;
  base::RegionId region;
  int64_t window = 0;
  std::string report_id;
  std::map<int64_t, SealedLines> windows;

  bool operator==(const UsageSeal&) const = default;
};

using UsageObject = std::variant<UsageProgress, UsagePart, UsageSeal>;

enum class UsageObjectKind { kProgress, kPart, kSeal };

// Identifies an object. The window is 0 for kProgress.
struct UsageObjectId {
  UsageObjectKind kind = UsageObjectKind::kProgress;
  int64_t window = 0;

  bool operator==(const UsageObjectId&) const = default;
};

// Returns the kind under which the object is stored.
std::string UsageKindName(UsageObjectKind kind);
// Returns the name under which the object is stored.
std::string UsageObjectName(const base::RegionId& region,
                            const UsageObjectId& id);

// Returns the stored form, JSON.
std::string EncodeUsageObject(const UsageObject& object);
// Parses the stored form. Throws base::Error when `text` isn't an object of
// this kind.
UsageObject DecodeUsageObject(UsageObjectKind kind, const std::string& text);

// Returns the id of a window's report, which serves as its idempotency key: it
// is the same for each attempt.
std::string UsageReportId(const base::RegionId& region, int64_t window);

// The usage of one client account in a report.
struct UsageReportLine {
  base::ClientAccountId client_account;
  UsageFigures figures;
  // The earlier window that the figures belong to; empty for usage of the
  // report's own window.
  std::optional<int64_t> correction_of;

  bool operator==(const UsageReportLine&) const = default;
};

// A window's report as it is sent to the usage interface.
struct UsageReport {
  std::string report_id;
  base::RegionId region;
  int64_t window = 0;
  // The writer of the seal, which may differ from the sender.
  UsageWriter writer;
  std::vector<UsageReportLine> lines;

  bool operator==(const UsageReport&) const = default;
};

// Builds the report of a seal. Depends on nothing else, so that all senders
// send the same report.
UsageReport ReportFromSeal(const UsageSeal& seal);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_OBJECTS_H_
