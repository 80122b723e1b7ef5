#include "carawayvalve/core/origin_search.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::core {

namespace {

// Several processes keep each origin, so that one of several peers may be
// silent, as if it had just been killed.
bool IsTooSilent(const OriginEvidence& evidence) {
  return evidence.silent_peers > (evidence.peers > 1 ? 1 : 0);
}

}  // namespace

const char* NameOf(OriginProof proof) {
  switch (proof) {
    case OriginProof::kFirstRequest:
      return "first_request";
    case OriginProof::kOnlyVersion:
      return "only_version";
    case OriginProof::kContent:
      return "content";
  }
  return "";
}

OriginSearch::OriginSearch(const Settings& settings,
                           bool is_named,
                           bool has_peers,
                           bool may_be_stored,
                           base::Instant now)
    : settings(settings),
      is_named(is_named),
      has_peers(has_peers),
      awaits_stored(may_be_stored),
      lacks_stored(may_be_stored),
      started(now),
      stage_end(now) {}

std::vector<OriginRequest> OriginSearch::Step(const OriginEvidence& evidence,
                                              base::Instant now) {
  std::vector<OriginRequest> requests;
  if (now - this->started >= this->settings.stored_time) {
    this->awaits_stored = false;
  }
  const bool is_new = this->stage == Stage::kNew;
  if (auto known = this->Conclude(evidence, now)) {
    this->verdict_reached = std::move(known);
    return {};
  }
  if (is_new && this->awaits_stored) {
    requests.emplace_back(ReadStoredOrigins{});
  }
  if (now >= this->stage_end) {
    this->AskPeers(requests, now);
  }
  if (this->stage != Stage::kKeepers && evidence.only_version.has_value() &&
      !this->IsRegistryKnown(evidence) &&
      !std::exchange(this->asked_store, true)) {
    requests.emplace_back(ConfirmRegistry{});
  }
  // Without peers the search may be over at once.
  if (auto known = this->Conclude(evidence, now)) {
    this->verdict_reached = std::move(known);
    return {};
  }
  return requests;
}

void OriginSearch::AskPeers(std::vector<OriginRequest>& requests,
                            base::Instant now) {
  if (!this->has_peers || this->stage == Stage::kAllPeers) {
    this->stage = Stage::kAsked;
    return;
  }
  // The keepers are chosen by the first request.
  if (this->stage == Stage::kNew && this->is_named) {
    this->stage = Stage::kKeepers;
    this->stage_end = now + this->settings.keepers_time;
    requests.emplace_back(AskOriginKeepers{});
    return;
  }
  if (this->stage != Stage::kAsked) {
    this->stage = Stage::kAllPeers;
    this->stage_end = now + this->settings.peers_time;
    requests.emplace_back(AskAllPeers{});
  }
}

bool OriginSearch::IsRegistryKnown(const OriginEvidence& evidence) const {
  return evidence.registry_known_to.has_value() &&
         *evidence.registry_known_to >= this->started;
}

std::optional<OriginVerdict> OriginSearch::Conclude(
    const OriginEvidence& evidence,
    base::Instant now) const {
  if (evidence.by_first.has_value()) {
    return ContinueAtVersion{*evidence.by_first, OriginProof::kFirstRequest};
  }
  const bool is_only =
      evidence.only_version.has_value() && this->IsRegistryKnown(evidence);
  // A version that is noted for the content contradicts another only one.
  std::set<std::string> possible =
      this->is_named ? std::set<std::string>() : evidence.by_content;
  if (is_only) {
    possible.insert(*evidence.only_version);
  }
  if (possible.size() > 1) {
    return OriginUnknown{"streams of several software versions fit"};
  }
  if (is_only) {
    return ContinueAtVersion{*evidence.only_version, OriginProof::kOnlyVersion};
  }
  const bool awaits_registry =
      evidence.only_version.has_value() &&
      now - this->started < this->settings.registry_time;
  if (this->stage != Stage::kAsked || this->awaits_stored || awaits_registry) {
    return std::nullopt;
  }
  if (possible.empty()) {
    return OriginUnknown{
        evidence.only_version.has_value()
            ? "another software version may have begun the stream"
            : "it isn't known which software version began the stream"};
  }
  if (this->lacks_stored) {
    return OriginUnknown{"what lost gateways have stored can't be read"};
  }
  if (IsTooSilent(evidence)) {
    return OriginUnknown{"peers haven't told what they know of the stream"};
  }
  return ContinueAtVersion{*possible.begin(), OriginProof::kContent};
}

base::Instant OriginSearch::wake_at() const {
  return this->stage == Stage::kAsked
             ? this->started + std::max(this->settings.stored_time,
                                        this->settings.registry_time)
             : this->stage_end;
}

}  // namespace carawayvalve::core
