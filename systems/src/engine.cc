#include "carawayvalve/systems/engine.h"

#include <limits>
#include <utility>

#include "engine_line.h"
#include "json_call.h"

namespace carawayvalve::systems {

using base::FieldReader;
using base::Milliseconds;
using detail::CallSite;
using nlohmann::json;

namespace {

constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();
constexpr Milliseconds kCallTimeout = Milliseconds(2000);
// Longer than other calls, as a KV cache can hold gigabytes.
constexpr Milliseconds kKvTimeout = Milliseconds(30000);
constexpr size_t kMaxRefusalBytes = size_t{64} * 1024;

json ToJson(const Generation& generation) {
  return {{"id", generation.id},
          {"model", generation.model},
          {"prompt", generation.prompt},
          {"max_tokens", generation.max_tokens},
          {"text_so_far", generation.text_so_far},
          {"tokens_so_far", generation.tokens_so_far},
          {"priority", generation.priority}};
}

// Throws unless the body is the engine's own refusal. A 503 from another
// listener doesn't prove that the request did not run.
void CheckRefusal(const CallSite& site, const std::string& body) {
  ReadObject(site, detail::ParseBody(site, body),
             [](FieldReader& fields) { return fields.String("reason"); });
}

}  // namespace

Engine::Engine(std::string address) : address(std::move(address)) {}

Engine::GenerateResult Engine::Generate(
    const Generation& generation,
    Milliseconds timeout,
    const std::function<void(int status,
                             const std::vector<HttpHeader>& headers)>& on_head,
    const std::function<bool(const std::string& line)>& on_line,
    const std::function<bool()>& cancelled) const {
  const CallSite site{"generate", this->address};
  const HttpRequest request = detail::MakeJsonRequest(
      site, "POST", "/generate", ToJson(generation), timeout);
  detail::EngineOutputReader output(site, on_line);
  std::string refusal;
  int status = 0;
  HttpSink sink;
  sink.head = [&](int received_status, const std::vector<HttpHeader>& headers) {
    status = received_status;
    on_head(status, headers);
    return true;
  };
  sink.body = [&](const char* bytes, size_t count) {
    if (status == detail::kOk) {
      return output.Append(bytes, count);
    }
    refusal.append(bytes, count);
    if (refusal.size() > kMaxRefusalBytes) {
      detail::ThrowUnreadable(site, "a refusal is too long");
    }
    return true;
  };
  sink.cancelled = cancelled;

  const bool is_complete = HttpStream(site.step, request, sink);
  if (is_complete && status == detail::kUnavailable) {
    CheckRefusal(site, refusal);
    return GenerateResult::kRefused;
  }
  if (is_complete && status != detail::kOk) {
    detail::ThrowUnexpectedStatus(site, status);
  }
  if (is_complete) {
    output.Finish();
  }
  if (output.ended()) {
    return GenerateResult::kEnded;
  }
  if (!is_complete) {
    return GenerateResult::kCancelled;
  }
  throw base::UnknownOutcomeError(site.step, site.peer,
                                  "the output ended without its end line");
}

void Engine::Cancel(const std::string& id) const {
  const CallSite site{"cancel generation", this->address};
  detail::CallForOk(site, detail::MakeJsonRequest(site, "POST", "/cancel",
                                                  {{"id", id}}, kCallTimeout));
}

EngineLoad Engine::Load() const {
  const CallSite site{"read load", this->address};
  const HttpRequest request =
      detail::MakeRequest(site, "GET", "/load", kCallTimeout);
  const json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  EngineLoad load = ReadObject(site, document, [](FieldReader& fields) {
    EngineLoad read;
    read.queued_prefill_tokens =
        fields.Integer("queued_prefill_tokens", 0, kMaxInteger);
    read.running_requests = fields.Integer("running_requests", 0, kMaxInteger);
    read.prefill_tokens_per_second =
        fields.Integer("prefill_tokens_per_second", 0, kMaxInteger);
    read.decode_tokens_per_second =
        fields.Integer("decode_tokens_per_second", 0, kMaxInteger);
    read.role = fields.String("role");
    return read;
  });
  load.models = ReadStrings(site, document, "models");
  const auto version = document.find("software_version");
  if (version != document.end() && version->is_string()) {
    load.software_version = version->get<std::string>();
  }
  return load;
}

CacheEvents Engine::ReadCacheEvents(int64_t from) const {
  const CallSite site{"read cache events", this->address};
  const HttpRequest request = detail::MakeRequest(
      site, "GET", "/cache-events?from=" + std::to_string(from), kCallTimeout);
  const json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  CacheEvents events = ReadObject(site, document, [](FieldReader& fields) {
    CacheEvents read;
    read.next = fields.Integer("next", 0, kMaxInteger);
    read.gap = fields.Boolean("gap");
    return read;
  });
  events.added = ReadStrings(site, document, "added");
  events.dropped = ReadStrings(site, document, "dropped");
  return events;
}

bool Engine::Order(const EngineOrder& order, Milliseconds timeout) const {
  const CallSite site{"order", this->address};
  const HttpRequest request =
      detail::MakeJsonRequest(site, "POST", "/orders",
                              {{"fencing_token", order.fencing_token},
                               {"role", order.role},
                               {"model", order.model},
                               {"version", order.version}},
                              timeout);
  return detail::CallForOkOrConflict(site, request);
}

std::string Engine::ExportKv(const std::string& prompt) const {
  const CallSite site{"export KV cache", this->address};
  const HttpRequest request = detail::MakeJsonRequest(
      site, "POST", "/kv/export", {{"prompt", prompt}}, kKvTimeout);
  const json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  return ReadObject(site, document,
                    [](FieldReader& fields) { return fields.String("kv"); });
}

void Engine::ImportKv(const std::string& kv) const {
  const CallSite site{"import KV cache", this->address};
  detail::CallForOk(site, detail::MakeJsonRequest(site, "POST", "/kv/import",
                                                  {{"kv", kv}}, kKvTimeout));
}

}  // namespace carawayvalve::systems
