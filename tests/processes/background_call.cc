#include "background_call.h"

#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"

namespace carawayvalve::tests {

using nlohmann::json;

BackgroundCall::BackgroundCall(
    const Deployment& deployment,
    const std::string& entry,
    const std::string& method,
    const std::string& path,
    const std::string& key,
    const std::string& body,
    const std::vector<systems::HttpHeader>& headers) {
  systems::HttpRequest request;
  request.method = method;
  request.url = "http://" + deployment.address(entry) + path;
  request.headers = headers;
  request.headers.emplace_back("Authorization", "Bearer " + key);
  request.body = body;
  request.timeout = base::Milliseconds(60000);
  this->thread = std::thread([this, request] {
    systems::HttpSink sink;
    sink.head = [this](int status, const auto&) {
      const std::lock_guard lock(this->mutex);
      this->result.status = status;
      return true;
    };
    sink.body = [this](const char* bytes, size_t count) {
      const std::lock_guard lock(this->mutex);
      this->result.body.append(bytes, count);
      return true;
    };
    sink.cancelled = [] { return false; };
    bool complete = false;
    try {
      complete = systems::HttpStream("call entry process", request, sink);
    } catch (const base::Error&) {
      // `complete` stays false.
    }
    const std::lock_guard lock(this->mutex);
    this->result.complete = complete;
  });
}

BackgroundCall::~BackgroundCall() {
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

std::string BackgroundCall::Body() const {
  const std::lock_guard lock(this->mutex);
  return this->result.body;
}

int BackgroundCall::Status() const {
  const std::lock_guard lock(this->mutex);
  return this->result.status;
}

BackgroundCall::Result BackgroundCall::Wait() {
  this->thread.join();
  return this->result;
}

std::string ChatBody(const std::string& content, bool stream, int max_tokens) {
  return json({{"model", "bench-7b"},
               {"stream", stream},
               {"max_tokens", max_tokens},
               {"messages", {{{"role", "user"}, {"content", content}}}}})
      .dump();
}

std::string StreamText(const std::string& body) {
  std::string text;
  size_t at = 0;
  while ((at = body.find("data: {", at)) != std::string::npos) {
    const size_t end = body.find("\n\n", at);
    if (end == std::string::npos) {
      break;
    }
    const json event =
        json::parse(body.substr(at + 6, end - at - 6), nullptr, false);
    if (event.is_object() && event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
    at = end;
  }
  return text;
}

std::string AnswerText(const std::string& body) {
  return json::parse(body)["choices"][0]["message"]["content"];
}

bool HasEndMarker(const std::string& body) {
  return body.ends_with("data: [DONE]\n\n");
}

}  // namespace carawayvalve::tests
