#include "crash_records.h"

namespace carawayvalve::entry {

std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& wire_records) {
  std::vector<core::CrashRecord> records;
  records.reserve(wire_records.size());
  for (const wire::gen::DeathMark& wire_record : wire_records) {
    records.push_back({wire_record.content_digest, wire_record.death_id,
                       base::Milliseconds(wire_record.age_ms),
                       wire_record.parts});
  }
  return records;
}

std::vector<core::ServedPart> FromWire(
    const std::vector<wire::gen::ServedPart>& wire_parts) {
  std::vector<core::ServedPart> parts;
  parts.reserve(wire_parts.size());
  for (const wire::gen::ServedPart& wire_part : wire_parts) {
    parts.push_back({wire_part.part, base::Milliseconds(wire_part.age_ms)});
  }
  return parts;
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
    if (!record.parts.empty()) {
      wire_record.__set_parts(record.parts);
    }
    wire_records.push_back(wire_record);
  }
  return wire_records;
}

std::vector<wire::gen::ServedPart> ToWire(
    const std::vector<core::ServedPart>& parts) {
  std::vector<wire::gen::ServedPart> wire_parts;
  wire_parts.reserve(parts.size());
  for (const core::ServedPart& part : parts) {
    wire::gen::ServedPart wire_part;
    wire_part.part = part.part;
    wire_part.age_ms = base::ToMilliseconds(part.age);
    wire_parts.push_back(wire_part);
  }
  return wire_parts;
}

}  // namespace carawayvalve::entry
