#include "crash_records.h"

namespace carawayvalve::entry {

std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& deaths) {
  std::vector<core::CrashRecord> records;
  records.reserve(deaths.size());
  for (const wire::gen::DeathMark& death : deaths) {
    records.push_back({death.content_digest, death.death_id,
                       base::Milliseconds(death.age_ms)});
  }
  return records;
}

std::vector<wire::gen::DeathMark> ToWire(
    const std::vector<core::CrashRecord>& records) {
  std::vector<wire::gen::DeathMark> deaths;
  deaths.reserve(records.size());
  for (const core::CrashRecord& record : records) {
    wire::gen::DeathMark death;
    death.content_digest = record.content_digest;
    death.deaths = 1;
    death.age_ms = base::ToMilliseconds(record.age);
    death.death_id = record.death_id;
    deaths.push_back(death);
  }
  return deaths;
}

}  // namespace carawayvalve::entry
