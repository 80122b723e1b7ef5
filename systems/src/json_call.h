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

// Returns `name` percent-encoded as one segment of a path or a query's value.
std::string EscapeSegment(const std::string& name);

// Returns a request without a body to the site's peer.
HttpRequest MakeRequest(const CallSite& site,
                        const std::string& method,
                        const std::string& path,
                        base::Milliseconds timeout);

// Returns a request with a JSON body, which is sent at most once. Throws
// base::NotReachedError when the body can't be written as JSON.
HttpRequest MakeJsonRequest(const CallSite& site,
                            const std::string& method,
                            const std::string& path,
                            const nlohmann::json& body,
                            base::Milliseconds timeout);

// Throws base::UnknownOutcomeError that names the status.
[[noreturn]] void ThrowUnexpected(const CallSite& site, int status);

// Performs a call whose only good answer is 200 and returns its body.
std::string CallForOk(const CallSite& site, const HttpRequest& request);

// Performs a call that is answered by 200, for which it returns true, or by
// 409.
bool CallForConsent(const CallSite& site, const HttpRequest& request);

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_JSON_CALL_H_
