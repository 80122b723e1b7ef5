#include "crash_state_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::gateway {

using nlohmann::json;

namespace {

constexpr int kFormat = 1;

base::Duration ParseAge(const json& value) {
  return base::Milliseconds(std::max<int64_t>(value.get<int64_t>(), 0));
}

// Crashes are written as [digest, crash, age_ms, [part]].
json PrintCrashes(const std::vector<core::CrashRecord>& crashes) {
  json printed = json::array();
  for (const core::CrashRecord& crash : crashes) {
    const bool survives =
        base::SurvivesJson(crash.death_id) &&
        std::all_of(crash.parts.begin(), crash.parts.end(), base::SurvivesJson);
    if (survives) {
      printed.push_back({crash.content_digest, crash.death_id,
                         base::ToMilliseconds(crash.age), crash.parts});
    }
  }
  return printed;
}

// Served parts are written as [part, age_ms].
json PrintServed(const std::vector<core::ServedPart>& parts) {
  json printed = json::array();
  for (const core::ServedPart& served : parts) {
    if (base::SurvivesJson(served.part)) {
      printed.push_back({served.part, base::ToMilliseconds(served.age)});
    }
  }
  return printed;
}

// Blamed parts are written as [part, crashes, age_ms].
json PrintBlamed(const std::vector<core::BlamedPart>& parts) {
  json printed = json::array();
  for (const core::BlamedPart& blamed : parts) {
    if (base::SurvivesJson(blamed.part)) {
      printed.push_back(
          {blamed.part, blamed.crashes, base::ToMilliseconds(blamed.age)});
    }
  }
  return printed;
}

}  // namespace

json PrintCrashState(const WrittenCrashState& written) {
  return {{"format", kFormat},
          {"written_ms", base::ToMilliseconds(written.written)},
          {"crashes", PrintCrashes(written.state.crashes)},
          {"served", PrintServed(written.state.served)},
          {"blamed", PrintBlamed(written.state.blamed)}};
}

std::optional<WrittenCrashState> ParseCrashState(const json& value) {
  try {
    if (value.at("format").get<int>() != kFormat) {
      return std::nullopt;
    }
    WrittenCrashState parsed;
    parsed.written = base::Milliseconds(value.at("written_ms").get<int64_t>());
    for (const json& crash : value.at("crashes")) {
      parsed.state.crashes.push_back(
          {crash.at(0).get<std::string>(), crash.at(1).get<std::string>(),
           ParseAge(crash.at(2)), crash.at(3).get<std::vector<std::string>>()});
    }
    for (const json& served : value.at("served")) {
      parsed.state.served.push_back(
          {served.at(0).get<std::string>(), ParseAge(served.at(1))});
    }
    for (const json& blamed : value.at("blamed")) {
      parsed.state.blamed.push_back({blamed.at(0).get<std::string>(),
                                     blamed.at(1).get<size_t>(),
                                     ParseAge(blamed.at(2))});
    }
    return parsed;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace carawayvalve::gateway
