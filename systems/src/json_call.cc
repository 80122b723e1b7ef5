#include "json_call.h"

#include <curl/curl.h>

#include <memory>
#include <new>

namespace carawayvalve::systems::detail {

std::string EscapeSegment(const std::string& name) {
  // curl_easy_escape treats length 0 as "use strlen".
  if (name.empty()) {
    return "";
  }
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, name.data(), static_cast<int>(name.size())),
      &curl_free);
  if (escaped == nullptr) {
    throw std::bad_alloc();
  }
  return escaped.get();
}

HttpRequest MakeRequest(const CallSite& site,
                        const std::string& method,
                        const std::string& path,
                        base::Milliseconds timeout) {
  HttpRequest request;
  request.method = method;
  request.url = "http://" + site.peer + path;
  request.timeout = timeout;
  return request;
}

HttpRequest MakeJsonRequest(const CallSite& site,
                            const std::string& method,
                            const std::string& path,
                            const nlohmann::json& body,
                            base::Milliseconds timeout) {
  HttpRequest request = MakeRequest(site, method, path, timeout);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = DumpBody(site, body);
  return request;
}

void ThrowUnexpectedStatus(const CallSite& site, int status) {
  throw base::UnknownOutcomeError(
      site.step, site.peer, "unexpected status " + std::to_string(status));
}

std::string CallForOk(const CallSite& site, const HttpRequest& request) {
  HttpResponse response = HttpCall(site.step, request);
  if (response.status != kOk) {
    ThrowUnexpectedStatus(site, response.status);
  }
  return std::move(response.body);
}

bool CallForOkOrConflict(const CallSite& site, const HttpRequest& request) {
  const int status = HttpCall(site.step, request).status;
  if (status != kOk && status != kConflict) {
    ThrowUnexpectedStatus(site, status);
  }
  return status == kOk;
}

}  // namespace carawayvalve::systems::detail
