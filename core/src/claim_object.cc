#include "carawayvalve/core/claim_object.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "byte_text.h"
#include "carawayvalve/base/error.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 3> kStateNames = {"claimed", "finished",
                                                    "not-run"};
constexpr const char* kStep = "read a claim";
constexpr const char* kPeer = "Object API";

json HeadersToJson(const AnswerHead& head) {
  json headers = json::array();
  for (const auto& [name, value] : head.headers) {
    headers.push_back({BytesToText(name), BytesToText(value)});
  }
  return headers;
}

json AnswerToJson(const StoredAnswer& answer) {
  json value = {{"body", BytesToText(answer.body)},
                {"finish_reason", BytesToText(answer.end.finish_reason)},
                {"prompt_tokens", answer.end.prompt_tokens},
                {"output_tokens", answer.end.output_tokens},
                {"cached_tokens", answer.end.cached_tokens}};
  if (answer.head) {
    value["status"] = answer.head->status;
    value["headers"] = HeadersToJson(*answer.head);
  }
  return value;
}

StoredAnswer AnswerFromJson(const json& value) {
  StoredAnswer answer;
  answer.body = TextToBytes(value.at("body").get<std::string>());
  answer.end.finish_reason =
      TextToBytes(value.at("finish_reason").get<std::string>());
  value.at("prompt_tokens").get_to(answer.end.prompt_tokens);
  value.at("output_tokens").get_to(answer.end.output_tokens);
  value.at("cached_tokens").get_to(answer.end.cached_tokens);
  if (value.contains("status")) {
    AnswerHead head;
    value.at("status").get_to(head.status);
    for (const json& header : value.at("headers")) {
      head.headers.emplace_back(TextToBytes(header.at(0).get<std::string>()),
                                TextToBytes(header.at(1).get<std::string>()));
    }
    answer.head = head;
  }
  return answer;
}

ClaimState StateFromName(const std::string& name) {
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames[i]) {
      return static_cast<ClaimState>(i);
    }
  }
  throw base::Error(kStep, kPeer, "unknown state " + name);
}

}  // namespace

std::vector<AnswerRecord> RecordsOf(const StoredAnswer& answer) {
  std::vector<AnswerRecord> records;
  if (answer.head) {
    records.emplace_back(*answer.head);
  }
  if (!answer.body.empty()) {
    records.emplace_back(AnswerChunk{answer.body});
  }
  records.emplace_back(answer.end);
  return records;
}

std::string ClaimName(const base::ClientAccountId& account,
                      const std::string& idempotency_key) {
  // The length prefix makes the boundary between account and key unambiguous.
  return base::Sha256(std::to_string(account.value.size()) + ":" +
                      account.value + idempotency_key);
}

std::string EncodeClaim(const ClaimObject& claim) {
  json value = {{"writer", BytesToText(claim.writer.value)},
                {"nonce", BytesToText(claim.nonce)},
                {"body_digest", BytesToText(claim.body_digest)},
                {"state", kStateNames[static_cast<size_t>(claim.state)]},
                {"whole", claim.whole},
                {"reason", BytesToText(claim.reason)}};
  if (claim.answer) {
    value["answer"] = AnswerToJson(*claim.answer);
  }
  return value.dump();
}

ClaimObject DecodeClaim(const std::string& text) {
  try {
    const json value = ParseStoredJson(kStep, kPeer, text);
    ClaimObject claim;
    claim.writer = {TextToBytes(value.at("writer").get<std::string>())};
    claim.nonce = TextToBytes(value.at("nonce").get<std::string>());
    claim.body_digest = TextToBytes(value.at("body_digest").get<std::string>());
    claim.state = StateFromName(value.at("state").get<std::string>());
    value.at("whole").get_to(claim.whole);
    claim.reason = TextToBytes(value.at("reason").get<std::string>());
    if (value.contains("answer")) {
      claim.answer = AnswerFromJson(value.at("answer"));
    }
    return claim;
  } catch (const json::exception& error) {
    throw base::Error(kStep, kPeer, error.what());
  } catch (const std::invalid_argument& error) {
    throw base::Error(kStep, kPeer, error.what());
  }
}

}  // namespace carawayvalve::core
