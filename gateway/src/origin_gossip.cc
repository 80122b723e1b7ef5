#include "origin_gossip.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "gossip_format.h"

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// The origin of a stream is kept by this many gateways besides its own, so that
// it is known after a kill or two.
constexpr size_t kOriginKeepers = 3;
// Keep datagrams small; what doesn't fit follows in the next round.
constexpr size_t kMaxOriginsPerRound = 256;
constexpr size_t kMaxOriginsPerMessage = 32;
// A gateway that has just started receives the origins of these streams.
constexpr std::chrono::seconds kOriginAgeForNewPeer(10);
constexpr size_t kMaxOriginsForNewPeer = 512;

wire::gen::GossipStreamOrigin ToGossipOrigin(const core::StreamOrigin& origin) {
  wire::gen::GossipStreamOrigin encoded;
  encoded.first = origin.first.value;
  encoded.software_version = origin.software_version;
  encoded.age_ms = static_cast<int32_t>(base::ToMilliseconds(origin.age));
  if (!origin.content.empty()) {
    encoded.__set_content(origin.content);
  }
  return encoded;
}

}  // namespace

std::map<base::HostId, OriginGossip::Origins> OriginGossip::TakeUntold() {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  std::map<base::HostId, Origins> origins;
  const size_t count =
      std::min(state.untold_origins.size(), kMaxOriginsPerRound);
  for (size_t i = 0; i < count; ++i) {
    UntoldOrigin& untold = state.untold_origins[i];
    --untold.messages_left;
    for (const base::HostId& keeper : core::OriginKeepers(
             untold.origin.first, state.live_hosts, kOriginKeepers)) {
      origins[keeper].push_back(
          ToGossipOrigin({untold.origin.first, untold.origin.software_version,
                          now - untold.noted, untold.origin.content}));
    }
  }
  std::erase_if(state.untold_origins, [](const UntoldOrigin& untold) {
    return untold.messages_left <= 0;
  });
  const base::HostId& writer = state.recent_state.writer();
  for (const core::StreamOrigin& origin :
       state.recent_state.TakeForWriter(now)) {
    origins[writer].push_back(ToGossipOrigin(origin));
    origins[writer].back().__set_is_to_be_stored(true);
  }
  return origins;
}

bool OriginGossip::IsKeeper(const base::RequestId& first,
                            const base::HostId& host) const {
  const auto keepers = core::OriginKeepers(
      first, this->context.state.live_hosts, kOriginKeepers);
  return std::find(keepers.begin(), keepers.end(), host) != keepers.end();
}

std::optional<Gossip> OriginGossip::Answer(const Gossip& question,
                                           const Gossip& base) const {
  const core::StreamOrigins& known = this->context.state.stream_origins;
  const base::Instant now = base::Now();
  Gossip answer = base;
  for (const std::string& first : question.wanted_origins) {
    const auto version = known.Find(base::RequestId{first});
    if (version.has_value()) {
      answer.stream_origins.push_back(
          ToGossipOrigin({{first}, *version, base::Duration(0)}));
    }
  }
  bool fits = true;
  for (const std::string& content : question.wanted_contents) {
    // One stream tells its version.
    std::set<std::string> versions;
    for (const core::StreamOrigin& origin : known.WithContent(content, now)) {
      if (versions.insert(origin.software_version).second) {
        fits = fits && answer.stream_origins.size() < kMaxOriginsPerMessage;
        if (fits) {
          answer.stream_origins.push_back(ToGossipOrigin(origin));
        }
      }
    }
  }
  answer.__isset.stream_origins = !answer.stream_origins.empty();
  if (question.__isset.question && fits) {
    answer.__set_answered_question(question.question);
    SetEcho(answer, question.boot, std::max(question.stamp, int64_t{0}));
  }
  return answer.__isset.stream_origins || answer.__isset.answered_question
             ? std::optional(std::move(answer))
             : std::nullopt;
}

std::vector<Gossip> OriginGossip::MessagesForNewPeer(const Gossip& base) const {
  std::vector<Gossip> messages;
  for (const core::StreamOrigin& origin :
       this->context.state.stream_origins.Recent(
           kOriginAgeForNewPeer, kMaxOriginsForNewPeer, base::Now())) {
    if (messages.empty() ||
        messages.back().stream_origins.size() >= kMaxOriginsPerMessage) {
      messages.push_back(base);
      messages.back().__isset.stream_origins = true;
    }
    messages.back().stream_origins.push_back(ToGossipOrigin(origin));
  }
  return messages;
}

void OriginGossip::Apply(const Gossip& gossip, base::Instant now) {
  for (const wire::gen::GossipStreamOrigin& received : gossip.stream_origins) {
    const core::StreamOrigin origin{{received.first},
                                    received.software_version,
                                    base::Milliseconds(received.age_ms),
                                    received.content};
    this->context.state.stream_origins.Note(origin, now);
    if (received.is_to_be_stored) {
      this->context.state.recent_state.NoteOrigin(origin, now);
    }
  }
  // An echo of an earlier run of this process answers its questions.
  if (gossip.__isset.answered_question &&
      gossip.echo_boot == this->context.state.boot.value) {
    this->context.origin_lookup.NoteAnswered({gossip.host},
                                             gossip.answered_question);
  }
  if (!gossip.stream_origins.empty()) {
    this->context.origin_lookup.NoteLearned();
  }
}

}  // namespace carawayvalve::gateway
