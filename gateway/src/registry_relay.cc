#include "registry_relay.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "carawayvalve/base/foreign_json.h"
#include "gossip_format.h"

namespace carawayvalve::gateway {

using nlohmann::json;

namespace {

constexpr char kPath[] = "/registry?after=";
constexpr char kEra[] = "&era=";
constexpr int kOk = 200;
constexpr std::chrono::seconds kKeepAlive(10);
// After a failed fetch there is no other one for this time: the peer may not
// have known the changes any more.
constexpr base::Milliseconds kFailedFetchDelay(500);
// Each part of an answer must arrive within this time.
constexpr base::Milliseconds kFetchPeriod(250);
constexpr size_t kMaxAnswerBytes = size_t{8} * 1024 * 1024;

json Encode(const core::ObjectChangeRange& range) {
  json changes = json::array();
  for (const core::ObjectChangeRecord& change : range.changes) {
    changes.push_back({{"name", change.name},
                       {"revision", change.revision},
                       {"removed", change.removed},
                       {"value", change.value}});
  }
  return {{"revision", range.revision.revision},
          {"era", range.revision.era},
          {"changes", changes}};
}

// Throws nlohmann::json::exception when the body isn't such an answer. Returns
// nothing if it holds more than can be read at once.
std::optional<platform::ObjectChanges> Decode(const std::string& body) {
  const json document = base::ParseForeignJson(body).value;
  platform::ObjectChanges changes;
  changes.revision = document.at("revision").get<int64_t>();
  changes.era = document.value("era", int64_t{0});
  std::vector<std::string_view> texts;
  for (const json& change : document.at("changes")) {
    texts.push_back(change.at("value").get_ref<const std::string&>());
  }
  if (!base::FitTogether(texts)) {
    return std::nullopt;
  }
  std::vector<base::ForeignJson> values = base::ParseForeignTexts(texts);
  for (const json& change : document.at("changes")) {
    base::ForeignJson& value = values[changes.changes.size()];
    platform::StoredObject object;
    object.name = change.at("name").get<std::string>();
    object.revision = change.at("revision").get<int64_t>();
    object.value = std::make_shared<const json>(std::move(value.value));
    object.fault = std::move(value.fault);
    changes.changes.push_back(
        {std::move(object), change.at("removed").get<bool>()});
  }
  return changes;
}

// Returns the revision after which a peer asks for changes. One that doesn't
// say the era knows none.
std::optional<core::StoreRevision> ParseTarget(const std::string& target) {
  if (!target.starts_with(kPath)) {
    return std::nullopt;
  }
  core::StoreRevision revision;
  const char* end = target.data() + target.size();
  auto read = std::from_chars(target.data() + sizeof(kPath) - 1, end,
                              revision.revision);
  if (read.ec == std::errc() && std::string_view(read.ptr).starts_with(kEra)) {
    read = std::from_chars(read.ptr + sizeof(kEra) - 1, end, revision.era);
  }
  return read.ec == std::errc() && read.ptr == end ? std::optional(revision)
                                                   : std::nullopt;
}

}  // namespace

RegistryRelay::RegistryRelay(Context& context, StoreFeed& feed)
    : context(context), feed(feed), client(context.loop, kKeepAlive) {
  this->client.SetBudget(context.answers);
}

void RegistryRelay::AddTo(wire::gen::Gossip& gossip) const {
  gossip.__set_store_era(this->context.state.store_era);
  const auto confirmed = this->feed.registry().confirmed();
  if (!confirmed.has_value()) {
    return;
  }
  wire::gen::GossipRegistryProof proof;
  proof.age_ms = static_cast<int32_t>(std::min<int64_t>(
      base::ToMilliseconds(base::Now() - *confirmed) + 1, INT32_MAX));
  const core::StoreRevision revision = this->feed.registry().proof_revision();
  proof.revision = revision.revision;
  proof.__set_era(revision.era);
  gossip.__set_registry_proof(proof);
}

void RegistryRelay::Apply(const wire::gen::Gossip& gossip,
                          const base::Address& address) {
  this->context.NoteStoreEra(gossip.store_era, gossip.host);
  // Without a proof the peer hasn't listed the backend servers yet.
  core::StoreRevision known_there{gossip.registry_proof.era,
                                  gossip.registry_revision};
  this->feed.NoteRegistryRevision(known_there);
  const ObjectWatcher& registry = this->feed.registry();
  if (gossip.__isset.registry_proof) {
    const wire::gen::GossipRegistryProof& proof = gossip.registry_proof;
    const core::StoreRevision proven{proof.era, proof.revision};
    known_there = std::max(known_there, proven);
    const auto sent_at = EchoSentAt(gossip, this->context.state, base::Now());
    if (sent_at.has_value() && proof.age_ms >= 0 &&
        registry.received_revision().Includes(proven)) {
      // Only this process's clock counts, so that a delay in transit makes no
      // confirmation look newer.
      this->feed.NoteRegistryConfirmed(*sent_at -
                                       base::Milliseconds(proof.age_ms));
    }
  }
  if (this->call == nullptr && registry.IsIdle() &&
      known_there > registry.received_revision() &&
      known_there.era == registry.received_revision().era &&
      base::Now() >= this->next_fetch) {
    this->Fetch(address);
  }
}

std::optional<std::string> RegistryRelay::Answer(
    const std::string& target) const {
  const auto revision = ParseTarget(target);
  if (!revision.has_value()) {
    return std::nullopt;
  }
  const auto range = this->feed.registry().log().Since(*revision);
  return range.has_value() ? std::optional(base::PrintJson(Encode(*range)))
                           : std::nullopt;
}

void RegistryRelay::Fetch(const base::Address& address) {
  const core::StoreRevision& known = this->feed.registry().received_revision();
  const std::string target =
      kPath + std::to_string(known.revision) + kEra + std::to_string(known.era);
  this->next_fetch = base::Now() + kFailedFetchDelay;
  this->call = TimedCall::StartTransfer(
      this->context.loop, this->client, address, {"GET", target, {}, {}},
      kFetchPeriod, kMaxAnswerBytes, [this](const TimedCall::Result& result) {
        this->call.reset();
        this->OnFetched(result);
      });
}

void RegistryRelay::OnFetched(const TimedCall::Result& result) {
  const bool is_answered = result.status == kOk;
  this->context.metrics.CountRegistryFetch(is_answered ? "answered" : "failed");
  if (!result.failure.empty()) {
    this->context.journal.Write(
        base::LogLevel::kWarning, "registry_fetch_failed",
        {{"reason", result.failure},
         {"bytes", static_cast<int64_t>(result.received_bytes)},
         {"ms", base::ToMilliseconds(result.time)}});
  }
  if (!is_answered) {
    return;
  }
  try {
    if (const auto changes = Decode(result.body)) {
      this->next_fetch = {};
      this->feed.ApplyPeerChanges(*changes);
    }
  } catch (const json::exception& error) {
    this->context.journal.Write(base::LogLevel::kWarning,
                                "registry_changes_unreadable",
                                {{"reason", error.what()}});
  }
}

}  // namespace carawayvalve::gateway
