#ifndef CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_
#define CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  // Headers that frame the body or concern the connection are not sent as
  // given: libcurl sets them.
  std::vector<HttpHeader> headers;
  std::string body;
  // Limit for the whole call, including connecting; with a `period` until the
  // answer begins.
  base::Milliseconds timeout = base::Milliseconds(5000);
  // If set, the answer may take longer than `timeout` as long as each further
  // period brings a part of it, see core::TransferProgress. Checked once a
  // second.
  std::optional<base::Milliseconds> period = std::nullopt;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// Callbacks that receive an answer while it arrives. Returning false from
// `head` or `body` ends the call; so does an exception, which is rethrown to
// the caller. Callbacks that are not set accept everything.
struct HttpSink {
  std::function<bool(int status, const std::vector<HttpHeader>& headers)> head;
  std::function<bool(const char* bytes, size_t count)> body;
  // Called about once a second and after each chunk; true ends the call.
  std::function<bool()> cancelled;
};

// Performs one call over a connection of its own and returns its answer,
// whatever its status. Sends the request at most once. Throws
// base::NotReachedError when no connection is established or the request is
// invalid, base::UnreadableAnswerError when the headers of the answer are too
// long, and base::UnknownOutcomeError when it is missing or incomplete. `step`
// names the call in errors.
HttpResponse HttpCall(const std::string& step, const HttpRequest& request);

// Like HttpCall, but passes the answer to `sink` in chunks as it arrives.
// Returns false when the sink ended the call.
bool HttpStream(const std::string& step,
                const HttpRequest& request,
                const HttpSink& sink);

// Returns the value of the first header called `name`, ignoring case, or "".
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_
