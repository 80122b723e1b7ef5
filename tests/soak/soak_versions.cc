// Software versions that serve side by side, and streams that are taken up.
#include <algorithm>
#include <iostream>
#include <map>
#include <regex>
#include <set>

#include "soak.h"

namespace carawayvalve::tests {

namespace {

// Of at least this many streams that are taken up while two engines of their
// version serve, the share that goes on must be at least kMinShare of the share
// of new streams that begin. Set by the platform.
constexpr int64_t kMinTakenUp = 12;
constexpr double kMinShare = 0.5;
constexpr int64_t kEnginesOfVersion = 2;
// How long an entry is needed to be known by all gateways.
constexpr base::Milliseconds kDiscoveryTime(2000);

// Returns the versions whose events are in the answer.
std::set<std::string> VersionsIn(const std::string& body) {
  static const std::regex kMark("@(v[0-9]+)");
  std::set<std::string> versions;
  for (std::sregex_iterator mark(body.begin(), body.end(), kMark), end;
       mark != end; ++mark) {
    versions.insert((*mark)[1]);
  }
  return versions;
}

}  // namespace

void Soak::ScheduleReleases() {
  if (this->faults_over) {
    return;
  }
  this->ReplaceServer();
  this->RunAfter(this->RandomDuration(500, 2500),
                 [this] { this->ScheduleReleases(); });
}

int64_t Soak::ServingEngines(const std::string& version,
                             base::Instant at) const {
  return std::count_if(
      this->servers.begin(), this->servers.end(), [&](const auto& server) {
        return server->engine && !server->prefill &&
               "v" + std::to_string(server->version) == version &&
               server->started + kDiscoveryTime <= at &&
               (!server->draining || server->drained > at);
      });
}

void Soak::CheckStreamVersions() {
  std::map<std::string, std::set<std::string>> streams;
  for (const auto& call : this->callers->calls()) {
    const std::string& first = call->resumes.empty() ? call->id : call->resumes;
    streams[first].merge(VersionsIn(call->body));
  }
  for (const auto& [first, versions] : streams) {
    if (versions.size() > 1) {
      this->AddComplaint("stream " + first + " holds events of " +
                         std::to_string(versions.size()) + " versions");
    }
  }
}

void Soak::CheckStreamsTakenUp() {
  if (!this->settings.versions) {
    return;
  }
  std::map<std::string, std::string> version_of;
  std::set<std::string> begun;
  for (const auto& call : this->callers->calls()) {
    const std::set<std::string> versions = VersionsIn(call->body);
    if (!versions.empty()) {
      version_of.try_emplace(call->resumes.empty() ? call->id : call->resumes,
                             *versions.begin());
      begun.insert(call->repeats.empty() ? call->id : call->repeats);
    }
  }
  int64_t taken_up = 0;
  int64_t went_on = 0;
  int64_t new_streams = 0;
  int64_t new_begun = 0;
  for (const auto& call : this->callers->calls()) {
    if (call->type != RequestType::kResumableStream || !call->repeats.empty()) {
      continue;
    }
    const int64_t has_begun = begun.contains(call->id) ? 1 : 0;
    if (call->resumes.empty()) {
      ++new_streams;
      new_begun += has_begun;
    } else if (this->ServingEngines(version_of[call->resumes], call->sent) >=
               kEnginesOfVersion) {
      ++taken_up;
      went_on += has_begun;
    }
  }
  std::cout << went_on << " of " << taken_up << " streams went on, "
            << new_begun << " of " << new_streams << " began\n";
  const double share =
      static_cast<double>(new_begun) / static_cast<double>(new_streams);
  if (taken_up >= kMinTakenUp &&
      static_cast<double>(went_on) <
          kMinShare * share * static_cast<double>(taken_up)) {
    this->AddComplaint(std::to_string(went_on) + " of " +
                       std::to_string(taken_up) +
                       " streams that were taken up went on");
  }
}

}  // namespace carawayvalve::tests
