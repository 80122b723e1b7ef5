#ifndef CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_
#define CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_

#include <vector>

#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// Convert the records of contents that were running when backend servers
// crashed from and to the form in which agents and entry processes exchange
// them.
std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& wire_records);
std::vector<wire::gen::DeathMark> ToWire(
    const std::vector<core::CrashRecord>& records);

// The same for the suspected parts that were served.
std::vector<core::ServedPart> FromWire(
    const std::vector<wire::gen::ServedPart>& wire_parts);
std::vector<wire::gen::ServedPart> ToWire(
    const std::vector<core::ServedPart>& parts);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CRASH_RECORDS_H_
