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

// Who wrote an object: a run of a process, and its epoch as the holder of the
// usage duty. Holders never write over an object with a higher epoch.
struct UsageWriter {
  base::BootId process;
  int64_t epoch = 0;

  bool operator==(const UsageWriter&) const = default;
};

// How far the windows of a region are. Windows are numbered from 1 on. The
// numbers only grow: 0 <= reported <= sealed < open.
struct UsageProgress {
  UsageWriter writer;
  // The window that agents count into.
  int64_t open = 1;
  int64_t sealed = 0;
  int64_t reported = 0;
  // Closed windows that may have usage which no seal carries.
  std::set<int64_t> pending;
  // The window whose report is being sent, and the epoch of its sender; 0 for
  // none. Written before the first sending.
  int64_t sending = 0;
  int64_t sending_epoch = 0;
  // Reports that the usage interface refused, as it had other figures.
  int64_t refused_reports = 0;
  // Usage of windows before this one comes too late.
  int64_t kept_from = 1;
  // The objects of windows before this one have been deleted.
  int64_t cleared_to = 1;

  bool operator==(const UsageProgress&) const = default;
};

// What is known of one window: the merged counters, and how much of them is in
// seals. Both only grow.
struct UsagePart {
  UsageWriter writer;
  WindowUsage counters;
  AccountUsage sealed;

  bool operator==(const UsagePart&) const = default;
};

// What a seal carries of one client account and window.
struct SealedLine {
  // To be billed.
  UsageFigures figures;
  // All that this seal and earlier ones carry of it.
  UsageFigures total;

  bool operator==(const SealedLine&) const = default;
};

using SealedLines = std::map<base::ClientAccountId, SealedLine>;

// The figures of one window's report, and how it is identified. Never changed
// once it exists. Windows other than its own are corrections: usage of theirs
// that came after their own seals.
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

// Names an object; the window is 0 for the progress.
struct UsageObjectId {
  UsageObjectKind kind = UsageObjectKind::kProgress;
  int64_t window = 0;

  bool operator==(const UsageObjectId&) const = default;
};

// The kind of object in the store.
std::string UsageKindName(UsageObjectKind kind);
// The object's name in the store.
std::string UsageObjectName(const base::RegionId& region,
                            const UsageObjectId& id);

// The stored form: JSON.
std::string EncodeUsageObject(const UsageObject& object);
// Throws base::Error when the text isn't an object of that kind.
UsageObject DecodeUsageObject(UsageObjectKind kind, const std::string& text);

// The same for each repetition of a window's report.
std::string UsageReportId(const base::RegionId& region, int64_t window);

// One line of a report.
struct UsageReportLine {
  base::ClientAccountId client_account;
  UsageFigures figures;
  // The earlier window that the figures belong to; none for usage of the
  // report's own window.
  std::optional<int64_t> correction_of;

  bool operator==(const UsageReportLine&) const = default;
};

// A window's report as it is sent.
struct UsageReport {
  std::string report_id;
  base::RegionId region;
  int64_t window = 0;
  // The writer of the seal, whoever sends it.
  UsageWriter writer;
  std::vector<UsageReportLine> lines;

  bool operator==(const UsageReport&) const = default;
};

// Depends on the seal alone.
UsageReport ReportFromSeal(const UsageSeal& seal);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_OBJECTS_H_
