#include "crash_records.h"

namespace carawayvalve::entry {

std::vector<core::CrashRecord> FromWire(
    const std::vector<wire::gen::DeathMark>& deaths) {
  std::vector<core::CrashRecord> marks;
  marks.reserve(deaths.size());
  for (const wire::gen::DeathMark& death : deaths) {
    marks.push_back({death.content_digest, death.death_id,
                     base::Milliseconds(death.age_ms)});
  }
  return marks;
}

std::vector<wire::gen::DeathMark> ToWire(
    const std::vector<core::CrashRecord>& marks) {
  std::vector<wire::gen::DeathMark> deaths;
  deaths.reserve(marks.size());
  for (const core::CrashRecord& mark : marks) {
    wire::gen::DeathMark death;
    death.content_digest = mark.content_digest;
    death.deaths = 1;
    death.age_ms = base::ToMilliseconds(mark.age);
    death.death_id = mark.death_id;
    deaths.push_back(death);
  }
  return deaths;
}

}  // namespace carawayvalve::entry
