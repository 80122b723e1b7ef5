#ifndef CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_
#define CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_

#include <vector>

#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// Marks of contents that were running when backend servers died, as agents and
// entry processes tell them to each other.
std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& deaths);
std::vector<wire::gen::DeathMark> ToWire(
    const std::vector<core::CrashRecord>& records);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_
