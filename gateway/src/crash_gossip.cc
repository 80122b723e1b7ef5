#include "crash_gossip.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// What ran during crashes that this gateway noticed within this time is sent in
// each message, as are the parts served within it.
constexpr std::chrono::seconds kRecentCrashAge(2);
constexpr size_t kMaxCrashesPerMessage = 16;
constexpr size_t kMaxServedPartsPerMessage = 32;
constexpr size_t kMaxPoisonPartsPerMessage = 8;
// No gateway remembers for longer that a part was served.
constexpr base::Duration kMaxServedAge = std::chrono::minutes(10);
// The number of newest crashes that are sent to a gateway which has just
// started.
constexpr size_t kMaxCrashesForNewPeer = 256;

wire::gen::GossipDeath ToGossipDeath(const core::CrashRecord& record) {
  wire::gen::GossipDeath encoded;
  encoded.content_digest = record.content_digest;
  encoded.death_id = record.death_id;
  encoded.age_ms = static_cast<int32_t>(base::ToMilliseconds(record.age));
  if (!record.parts.empty()) {
    encoded.__set_parts(record.parts);
  }
  return encoded;
}

void AddServedPart(Gossip& gossip, const core::ServedPart& served) {
  wire::gen::GossipServedPart encoded;
  encoded.part = served.part;
  encoded.age_ms = static_cast<int32_t>(base::ToMilliseconds(served.age));
  gossip.served_parts.push_back(std::move(encoded));
  gossip.__isset.served_parts = true;
}

}  // namespace

void CrashGossip::AddTo(Gossip& gossip, bool include_old) {
  const core::PoisonRequestTracker& poison =
      this->context.state.poison_requests;
  const base::Instant now = base::Now();
  const auto records = include_old ? poison.Records(now)
                                   : poison.OwnRecords(now, kRecentCrashAge);
  const size_t count = std::min(records.size(), kMaxCrashesPerMessage);
  for (size_t i = 0; i < count; ++i) {
    gossip.deaths.push_back(
        ToGossipDeath(records[this->next_crash++ % records.size()]));
  }
  const auto served = poison.ServedParts(
      now, include_old ? kMaxServedAge : base::Duration(kRecentCrashAge));
  const size_t served_count =
      std::min(served.size(), kMaxServedPartsPerMessage);
  for (size_t i = 0; i < served_count; ++i) {
    AddServedPart(gossip, served[this->next_served_part++ % served.size()]);
  }
  for (const auto& [part, blamed] : poison.own_poison_parts(now)) {
    if (gossip.poison_parts.size() >= kMaxPoisonPartsPerMessage) {
      break;
    }
    wire::gen::GossipPoisonPart encoded;
    encoded.part = part;
    encoded.crashes = static_cast<int32_t>(blamed.crashes);
    encoded.age_ms =
        static_cast<int32_t>(base::ToMilliseconds(now - blamed.last_crash));
    gossip.poison_parts.push_back(std::move(encoded));
  }
  gossip.__isset.poison_parts = !gossip.poison_parts.empty();
}

std::vector<Gossip> CrashGossip::MessagesForNewPeer(const Gossip& base) const {
  const core::PoisonRequestTracker& poison =
      this->context.state.poison_requests;
  const base::Instant now = base::Now();
  std::vector<core::CrashRecord> records = poison.Records(now);
  std::sort(records.begin(), records.end(),
            [](const core::CrashRecord& left, const core::CrashRecord& right) {
              return left.age < right.age;
            });
  records.resize(std::min(records.size(), kMaxCrashesForNewPeer));
  std::vector<Gossip> messages;
  for (const core::CrashRecord& record : records) {
    if (messages.empty() ||
        messages.back().deaths.size() >= kMaxCrashesPerMessage) {
      messages.push_back(base);
    }
    messages.back().deaths.push_back(ToGossipDeath(record));
  }
  for (const core::ServedPart& served :
       poison.ServedParts(now, kMaxServedAge)) {
    if (messages.empty() ||
        messages.back().served_parts.size() >= kMaxServedPartsPerMessage) {
      messages.push_back(base);
    }
    AddServedPart(messages.back(), served);
  }
  return messages;
}

void CrashGossip::Apply(const Gossip& gossip, base::Instant now) {
  core::PoisonRequestTracker& poison = this->context.state.poison_requests;
  std::vector<core::CrashRecord> crashes;
  for (const wire::gen::GossipDeath& received : gossip.deaths) {
    crashes.push_back({received.content_digest, received.death_id,
                       base::Milliseconds(received.age_ms), received.parts});
  }
  std::vector<core::ServedPart> served;
  for (const wire::gen::GossipServedPart& received : gossip.served_parts) {
    served.push_back({received.part, base::Milliseconds(received.age_ms)});
  }
  for (const wire::gen::GossipPoisonPart& received : gossip.poison_parts) {
    poison.MergePoisonPart(received.part,
                           {static_cast<size_t>(std::max(received.crashes, 0)),
                            now - base::Milliseconds(received.age_ms)});
  }
  if (crashes.empty() && served.empty() && gossip.poison_parts.empty()) {
    return;
  }
  poison.Merge(crashes, now);
  poison.MergeServed(served, now);
  this->context.LogPoisonParts();
}

}  // namespace carawayvalve::gateway
