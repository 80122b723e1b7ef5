#include "plan_relay.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "carawayvalve/base/deflate.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/base/json_difference.h"
#include "gossip_format.h"

namespace carawayvalve::gateway {

using nlohmann::json;

namespace {

constexpr char kPath[] = "/plan";
constexpr std::string_view kAfter = "/plan?after=";
// The coding isn't HTTP's "deflate", which has a header and a checksum.
constexpr char kCoding[] = "x-raw-deflate";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::chrono::seconds kKeepAlive(10);
// Each part of an answer must arrive within this time.
constexpr std::chrono::seconds kFetchPeriod(1);
// A peer that failed to answer isn't asked for this time; others are.
constexpr base::Milliseconds kFailedFetchDelay(300);
constexpr size_t kMaxPlanBytes = size_t{8} * 1024 * 1024;
// Answers to peers that have earlier versions than these are encoded anew.
constexpr size_t kMaxEncoded = 8;

// Returns nothing when the target isn't a question for changes.
std::optional<int64_t> ParseAfter(std::string_view target) {
  if (!target.starts_with(kAfter)) {
    return std::nullopt;
  }
  target.remove_prefix(kAfter.size());
  int64_t version = 0;
  const char* end = target.data() + target.size();
  const auto read = std::from_chars(target.data(), end, version);
  return read.ec == std::errc() && read.ptr == end ? std::optional(version)
                                                   : std::nullopt;
}

// Returns nothing when the body can't be decoded.
std::optional<std::string> DecodeBody(const TimedCall::Result& result) {
  const std::string* coding = net::FindField(result.fields, "Content-Encoding");
  return coding != nullptr && *coding == kCoding
             ? base::Inflate(result.body, kMaxPlanBytes)
             : std::optional(result.body);
}

}  // namespace

PlanRelay::PlanRelay(Context& context, StoreFeed& feed)
    : context(context), feed(feed), client(context.loop, kKeepAlive) {
  this->client.SetBudget(context.answers);
}

void PlanRelay::AddTo(wire::gen::Gossip& gossip) const {
  const GatewayState& state = this->context.state;
  gossip.plan_version = state.table == nullptr ? 0 : state.table->version();
  const auto age = state.key_freshness.Age(base::Now());
  gossip.proof_age_ms = age.has_value()
                            ? static_cast<int32_t>(std::min<int64_t>(
                                  base::ToMilliseconds(*age) + 1, INT32_MAX))
                            : -1;
  if (const auto revision = this->feed.plan_revision()) {
    gossip.__set_plan_revision(revision->revision);
  }
}

void PlanRelay::Apply(const wire::gen::Gossip& gossip,
                      const base::Address& address) {
  const GatewayState& state = this->context.state;
  const int64_t own_version =
      state.table == nullptr ? 0 : state.table->version();
  if (gossip.plan_version == own_version && own_version > 0) {
    this->NoteSameVersion(gossip);
    return;
  }
  const auto failed = this->next_fetch.find(gossip.host);
  const bool may_ask =
      failed == this->next_fetch.end() || failed->second <= base::Now();
  if (gossip.plan_version > own_version && this->call == nullptr && may_ask) {
    const bool has_changes = own_version > 0;
    this->Fetch({gossip.host, address, gossip.plan_version,
                 has_changes ? std::optional(own_version) : std::nullopt});
  }
}

void PlanRelay::NoteSameVersion(const wire::gen::Gossip& gossip) {
  GatewayState& state = this->context.state;
  if (gossip.__isset.plan_revision) {
    this->feed.NotePlanRevision({gossip.store_era, gossip.plan_revision});
  }
  const auto sent_at = EchoSentAt(gossip, state, base::Now());
  if (gossip.proof_age_ms >= 0 && sent_at.has_value()) {
    const base::Milliseconds age(gossip.proof_age_ms);
    state.key_freshness.NotePeerAnswer(*sent_at, age);
    this->feed.NoteConfigurationConfirmed(*sent_at - age);
  }
}

void PlanRelay::Fetch(const Question& question) {
  const std::string target =
      question.after.has_value()
          ? std::string(kAfter) + std::to_string(*question.after)
          : kPath;
  this->call = TimedCall::StartTransfer(
      this->context.loop, this->client, question.address,
      {"GET", target, {{"Accept-Encoding", kCoding}}, {}}, kFetchPeriod,
      kMaxPlanBytes, [this, question](const TimedCall::Result& result) {
        this->call.reset();
        this->OnFetched(question, result);
      });
}

void PlanRelay::OnFetched(const Question& question,
                          const TimedCall::Result& result) {
  std::string fault = this->Apply(question, result);
  const bool lacks_changes =
      question.after.has_value() && !fault.empty() && result.failure.empty();
  this->context.metrics.CountPlanFetch(fault.empty()   ? "answered"
                                       : lacks_changes ? "no_changes"
                                                       : "failed");
  this->context.journal.Write(
      fault.empty() ? base::LogLevel::kInfo : base::LogLevel::kWarning,
      "plan_fetched",
      {{"peer", question.peer},
       {"version", question.version},
       {"after", question.after.value_or(0)},
       {"fault", fault},
       {"bytes", static_cast<int64_t>(result.received_bytes)},
       {"ms", base::ToMilliseconds(result.time)}});
  if (fault.empty()) {
    this->next_fetch.erase(question.peer);
  } else if (lacks_changes) {
    this->Fetch({question.peer, question.address, question.version, {}});
  } else {
    this->next_fetch[question.peer] = base::Now() + kFailedFetchDelay;
  }
}

std::string PlanRelay::Apply(const Question& question,
                             const TimedCall::Result& result) {
  if (!result.failure.empty()) {
    return result.failure;
  }
  if (result.status != kOk) {
    return "status " + std::to_string(result.status);
  }
  const auto text = DecodeBody(result);
  if (!text.has_value()) {
    return "can't be decoded";
  }
  base::ForeignJson parsed = base::ParseForeignJson(*text);
  if (!parsed.fault.empty()) {
    return parsed.fault;
  }
  if (!question.after.has_value()) {
    const bool is_read = this->feed.ApplyPlan(
        std::make_shared<const json>(std::move(parsed.value)), "peer");
    return is_read ? "" : "isn't a configuration";
  }
  try {
    this->ApplyChanges(parsed.value);
    return "";
  } catch (const json::exception& error) {
    return error.what();
  } catch (const base::Error& error) {
    return error.reason();
  }
}

void PlanRelay::ApplyChanges(const json& encoded) {
  std::shared_ptr<const json> value = this->feed.plan_value();
  int64_t version = this->context.state.table->version();
  std::vector<core::PlanChange> changes;
  for (const json& item : encoded.at("changes")) {
    const core::PlanChange change{item.at("from").get<int64_t>(),
                                  item.at("to").get<int64_t>(),
                                  item.at("difference").get<std::string>()};
    // The store may have sent some of them meanwhile.
    if (change.to <= version) {
      continue;
    }
    if (change.from != version) {
      throw base::Error("apply changes", "peer", "are of another version");
    }
    value = std::make_shared<const json>(base::ApplyDifference(
        *value, base::ParseForeignJson(change.difference).value));
    version = change.to;
    changes.push_back(change);
  }
  const bool is_read =
      changes.empty() || this->feed.ApplyPlan(value, "peer", changes);
  if (!is_read) {
    throw base::Error("apply changes", "peer", "make no configuration");
  }
}

std::optional<std::string> PlanRelay::TextAfter(
    std::optional<int64_t> after) const {
  if (!after.has_value()) {
    return base::PrintJson(*this->feed.plan_value());
  }
  const auto changes = this->feed.plan_log().Since(*after);
  if (!changes.has_value()) {
    return std::nullopt;
  }
  json list = json::array();
  for (const core::PlanChange& change : *changes) {
    list.push_back({{"from", change.from},
                    {"to", change.to},
                    {"difference", change.difference}});
  }
  return base::PrintJson({{"changes", list}});
}

std::optional<net::Response> PlanRelay::Answer(const net::Request& request) {
  const auto after = ParseAfter(request.target);
  if ((request.target != kPath && !after.has_value()) ||
      this->feed.plan_value() == nullptr) {
    return std::nullopt;
  }
  const std::string* coding = net::FindField(request.fields, "Accept-Encoding");
  const bool is_encoded = coding != nullptr && *coding == kCoding;
  const int64_t version = this->context.state.table->version();
  if (std::exchange(this->encoded_version, version) != version ||
      this->encoded.size() >= kMaxEncoded) {
    this->encoded.clear();
  }
  const auto known = this->encoded.find(after);
  if (is_encoded && known != this->encoded.end()) {
    return net::Response{{kOk, {{"Content-Encoding", kCoding}}}, known->second};
  }
  const auto text = this->TextAfter(after);
  if (!text.has_value()) {
    return net::Response{{kNotFound, {}}, ""};
  }
  if (!is_encoded) {
    return net::Response{{kOk, {{"Content-Type", "application/json"}}}, *text};
  }
  return net::Response{
      {kOk, {{"Content-Encoding", kCoding}}},
      this->encoded.emplace(after, base::Deflate(*text)).first->second};
}

}  // namespace carawayvalve::gateway
