#include "recent_state_format.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::gateway {

using nlohmann::json;

namespace {

constexpr int kFormat = 1;

base::Duration ParseMs(const json& value) {
  return base::Milliseconds(value.get<int64_t>());
}

json PrintVersions(
    const std::map<base::ServiceId, core::ServiceVersions>& versions) {
  json printed = json::object();
  for (const auto& [service, known] : versions) {
    json ages = json::object();
    for (const auto& [version, age] : known.ages) {
      ages[version] = base::ToMilliseconds(age);
    }
    printed[service.value] = {
        {"known_ms", base::ToMilliseconds(known.known_for)},
        {"ages_ms", std::move(ages)}};
  }
  return printed;
}

std::map<base::ServiceId, core::ServiceVersions> ParseVersions(
    const json& value) {
  std::map<base::ServiceId, core::ServiceVersions> versions;
  for (const auto& [service, known] : value.items()) {
    core::ServiceVersions& parsed = versions[{service}];
    parsed.known_for = ParseMs(known.at("known_ms"));
    for (const auto& [version, age] : known.at("ages_ms").items()) {
      parsed.ages[version] = ParseMs(age);
    }
  }
  return versions;
}

// Another stream's id may print like one that isn't UTF-8, so that a successor
// could join two streams.
bool IsPrintable(const core::StreamOrigin& origin) {
  return base::SurvivesJson(origin.first.value) &&
         base::SurvivesJson(origin.software_version) &&
         base::SurvivesJson(origin.content);
}

// Streams are written as [first, version, age_ms, content].
json PrintOrigins(const std::vector<core::StreamOrigin>& origins) {
  json printed = json::array();
  for (const core::StreamOrigin& origin : origins) {
    if (IsPrintable(origin)) {
      printed.push_back({origin.first.value, origin.software_version,
                         base::ToMilliseconds(origin.age), origin.content});
    }
  }
  return printed;
}

std::vector<core::StreamOrigin> ParseOrigins(const json& value) {
  std::vector<core::StreamOrigin> origins;
  for (const json& origin : value) {
    origins.push_back({{origin.at(0).get<std::string>()},
                       origin.at(1).get<std::string>(),
                       ParseMs(origin.at(2)),
                       origin.at(3).get<std::string>(),
                       true});
  }
  return origins;
}

// Counts are written as [window, source, {account: count}].
json PrintParts(const std::vector<core::WindowCountsPart>& parts) {
  json printed = json::array();
  for (const core::WindowCountsPart& part : parts) {
    json counts = json::object();
    for (const auto& [account, count] : part.counts) {
      counts[account.value] = count;
    }
    printed.push_back({part.window, part.source.value, std::move(counts)});
  }
  return printed;
}

std::vector<core::WindowCountsPart> ParseParts(const json& value) {
  std::vector<core::WindowCountsPart> parts;
  for (const json& part : value) {
    core::WindowCountsPart parsed{
        part.at(0).get<int64_t>(), {part.at(1).get<std::string>()}, {}};
    for (const auto& [account, count] : part.at(2).items()) {
      parsed.counts[{account}] = count.get<int64_t>();
    }
    parts.push_back(std::move(parsed));
  }
  return parts;
}

}  // namespace

json PrintRecentState(const core::RecentState& state) {
  return {{"format", kFormat},
          {"written_ms", base::ToMilliseconds(state.written)},
          {"registry_era", state.registry_revision.era},
          {"registry_revision", state.registry_revision.revision},
          {"versions", PrintVersions(state.versions)},
          {"streams", PrintOrigins(state.origins)},
          {"counts", PrintParts(state.counts)}};
}

std::optional<core::RecentState> ParseRecentState(const json& value) {
  try {
    if (value.at("format").get<int>() != kFormat) {
      return std::nullopt;
    }
    core::RecentState state;
    state.written = ParseMs(value.at("written_ms"));
    state.registry_revision = {value.value("registry_era", int64_t{0}),
                               value.at("registry_revision").get<int64_t>()};
    state.versions = ParseVersions(value.at("versions"));
    state.origins = ParseOrigins(value.at("streams"));
    state.counts = ParseParts(value.at("counts"));
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace carawayvalve::gateway
