#include "peer_handler.h"

#include <algorithm>

#include "carawayvalve/config/json.h"
#include "carawayvalve/config/patch.h"
#include "crash_records.h"

namespace carawayvalve::entry {

namespace {

constexpr int64_t kMaxWaitMs = 2000;

}  // namespace

void PeerHandler::configuration(wire::gen::ConfigurationCopy& answer,
                                int64_t known_generation,
                                int64_t wait_ms) {
  const ConfigurationFeed::Copy copy = this->sources.feed.WaitForNewer(
      known_generation,
      base::Milliseconds(std::clamp<int64_t>(wait_ms, 0, kMaxWaitMs)));
  answer.generation = copy.current ? copy.current->generation : 0;
  answer.base_generation = 0;
  answer.is_patch = false;
  answer.store_age_ms =
      copy.store_age ? base::ToMilliseconds(*copy.store_age) : -1;
  if (answer.generation <= known_generation) {
    return;
  }
  answer.is_patch = copy.reader_configuration != nullptr;
  answer.base_generation = answer.is_patch ? known_generation : 0;
  answer.text = answer.is_patch ? config::PatchBetween(
                                      *copy.reader_configuration, *copy.current)
                                : config::PrintConfiguration(*copy.current);
}

void PeerHandler::status(wire::gen::PeerStatus& answer) {
  const ConfigurationFeed::Copy copy =
      this->sources.feed.WaitForNewer(0, base::Milliseconds(0));
  answer.host = this->sources.settings.host.value;
  answer.data_centre = this->sources.settings.data_centre.value;
  answer.boot = this->sources.boot.value;
  answer.generation = copy.current ? copy.current->generation : 0;
  answer.leaving = this->sources.leaving;
  answer.store_age_ms =
      copy.store_age ? base::ToMilliseconds(*copy.store_age) : -1;
  answer.duties_held = this->sources.duties_held();
  answer.deaths = ToWire(this->sources.control.CrashRecords());
  answer.__set_served_parts(ToWire(this->sources.control.ServedParts()));
}

void PeerHandler::usage(std::vector<wire::gen::UsageCounters>& answer,
                        int64_t since_window,
                        int64_t open_window) {
  this->sources.usage.NoteOpenWindow(open_window);
  answer = this->sources.usage.CountersSince(since_window);
}

void PeerHandler::report_deaths(
    const std::vector<wire::gen::DeathMark>& deaths) {
  this->sources.control.MergeCrashRecords(FromWire(deaths));
}

void PeerHandler::exchange_credit(wire::gen::CreditAnswer& answer,
                                  const wire::gen::CreditMessage& message) {
  this->sources.rates.Answer(answer, message);
}

}  // namespace carawayvalve::entry
