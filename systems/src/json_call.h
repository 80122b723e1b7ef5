#ifndef CARAWAYVALVE_SYSTEMS_SRC_JSON_CALL_H_
#define CARAWAYVALVE_SYSTEMS_SRC_JSON_CALL_H_

#include <nlohmann/json.hpp>
#include <string>

#include "carawayvalve/base/time.h"
#include "carawayvalve/systems/http_client.h"
#include "json_body.h"

namespace carawayvalve::systems::detail {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Percent-encodes `name` for use as one path segment or query value.
std::string EscapeSegment(const std::string& name);

// Returns a request without a body to `site.peer`.
HttpRequest MakeRequest(const CallSite& site,
                        const std::string& method,
                        const std::string& path,
                        base::Milliseconds timeout);

// Returns a request with a JSON body that is sent at most once. Throws
// base::NotReachedError when the body can't be serialised.
HttpRequest MakeJsonRequest(const CallSite& site,
                            const std::string& method,
                            const std::string& path,
                            const nlohmann::json& body,
                            base::Milliseconds timeout);

// Throws a base::UnknownOutcomeError that names the status.
[[noreturn]] void ThrowUnexpectedStatus(const CallSite& site, int status);

// Performs a call and returns its body. Throws base::UnknownOutcomeError for
// any status but 200.
std::string CallForOk(const CallSite& site, const HttpRequest& request);

// Performs a call and returns true for status 200 and false for 409. Throws
// base::UnknownOutcomeError for any other status.
bool CallForOkOrConflict(const CallSite& site, const HttpRequest& request);

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_JSON_CALL_H_
