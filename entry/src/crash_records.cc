#include "crash_records.h"

namespace carawayvalve::entry {

std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& wire_records) {
  std::vector<core::CrashRecord> records;
  records.reserve(wire_records.size());
  for (const wire::gen::DeathMark& wire_record : wire_records) {
    records.push_back({wire_record.content_digest, wire_record.death_id,
                       base::Milliseconds(wire_record.age_ms)});
  }
  return records;
}

std::vector<wire::gen::DeathMark> ToWire(
    const std::vector<core::CrashRecord>& records) {
  std::vector<wire::gen::DeathMark> wire_records;
  wire_records.reserve(records.size());
  for (const core::CrashRecord& record : records) {
    wire::gen::DeathMark wire_record;
    wire_record.content_digest = record.content_digest;
    wire_record.deaths = 1;
    wire_record.age_ms = base::ToMilliseconds(record.age);
    wire_record.death_id = record.death_id;
    wire_records.push_back(wire_record);
  }
  return wire_records;
}

}  // namespace carawayvalve::entry
