#include "carawayvalve/core/origin_search.h"

#include <utility>

namespace carawayvalve::core {

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
      started(now),
      stage_end(now) {}

std::vector<OriginRequest> OriginSearch::Step(const OriginEvidence& evidence,
                                              base::Instant now) {
  std::vector<OriginRequest> requests;
  if (now - this->started >= this->settings.stored_time) {
    this->awaits_stored = false;
  }
  const bool is_new = this->stage == Stage::kNew;
  if (auto known = this->Conclude(evidence)) {
    this->verdict_reached = std::move(known);
    return {};
  }
  if (is_new && this->awaits_stored) {
    requests.emplace_back(ReadStoredOrigins{});
  }
  if (now >= this->stage_end) {
    this->AskPeers(requests, now);
  }
  // Without peers the search may be over at once.
  if (auto known = this->Conclude(evidence)) {
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

std::optional<OriginVerdict> OriginSearch::Conclude(
    const OriginEvidence& evidence) const {
  if (evidence.by_first.has_value()) {
    return ContinueAtVersion{*evidence.by_first, OriginProof::kFirstRequest};
  }
  // A version that is noted for the content contradicts another only one.
  std::set<std::string> possible =
      this->is_named ? std::set<std::string>() : evidence.by_content;
  if (evidence.only_version.has_value()) {
    possible.insert(*evidence.only_version);
  }
  if (possible.size() > 1) {
    return OriginUnknown{"streams of several software versions fit"};
  }
  if (evidence.only_version.has_value()) {
    return ContinueAtVersion{*evidence.only_version, OriginProof::kOnlyVersion};
  }
  if (this->stage != Stage::kAsked || this->awaits_stored) {
    return std::nullopt;
  }
  if (possible.empty()) {
    return OriginUnknown{
        "it isn't known which software version began the stream"};
  }
  return ContinueAtVersion{*possible.begin(), OriginProof::kContent};
}

base::Instant OriginSearch::wake_at() const {
  return this->stage == Stage::kAsked
             ? this->started + this->settings.stored_time
             : this->stage_end;
}

}  // namespace carawayvalve::core
