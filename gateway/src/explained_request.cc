#include <nlohmann/json.hpp>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"
#include "explanation.h"

namespace carawayvalve::gateway {

using base::Fault;
using base::FieldReader;
using nlohmann::json;

namespace {

constexpr char kSource[] = "request";
constexpr int64_t kMaxTokens = 1'000'000'000;
constexpr int64_t kMaxTimeoutMs = 3600 * 1000;

core::PromptPart ReadPart(const json& value,
                          const std::string& path,
                          std::vector<Fault>& faults) {
  FieldReader reader(value, path, faults);
  core::PromptPart part;
  part.id = reader.String("id");
  part.tokens = reader.Integer("tokens", 0, kMaxTokens);
  reader.Finish();
  return part;
}

core::Prompt ReadPrompt(FieldReader& parent, std::vector<Fault>& faults) {
  FieldReader reader(parent.Object("prompt"), parent.PathOf("prompt"), faults);
  core::Prompt prompt;
  prompt.model = {reader.String("model")};
  prompt.max_output_tokens =
      reader.Integer("max_output_tokens", 0, kMaxTokens, 0);
  const json& parts = reader.Array("parts");
  for (size_t i = 0; i < parts.size(); ++i) {
    prompt.parts.push_back(ReadPart(
        parts[i], reader.PathOf("parts") + "/" + std::to_string(i), faults));
    prompt.prompt_tokens += prompt.parts.back().tokens;
  }
  reader.Finish();
  return prompt;
}

}  // namespace

ExplainedRequest ReadExplainedRequest(const std::string& text) {
  const json document = base::ParseJson(text, kSource);
  std::vector<Fault> faults;
  FieldReader reader(document, "", faults);
  ExplainedRequest request;
  request.host = reader.String("host");
  request.path = reader.String("path");
  const std::string account = reader.String("account", "");
  if (!account.empty()) {
    request.account = base::ClientAccountId{account};
  }
  request.caller.id = {reader.String("id", "explained")};
  const int64_t timeout_ms = reader.Integer("timeout_ms", 0, kMaxTimeoutMs, 0);
  if (timeout_ms > 0) {
    request.caller.timeout = base::Milliseconds(timeout_ms);
  }
  if (document.is_object() && document.contains("prompt")) {
    request.caller.prompt = ReadPrompt(reader, faults);
  }
  reader.Finish();
  base::ThrowIfAny(faults, kSource);
  return request;
}

}  // namespace carawayvalve::gateway
