#ifndef CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_
#define CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  // Those that frame the body or concern the connection are left out: the
  // library sets them.
  std::vector<HttpHeader> headers;
  std::string body;
  // Of the whole call, connecting included.
  base::Milliseconds timeout = base::Milliseconds(5000);
  // True keeps the library from sending the request again on its own, as it
  // otherwise does when a reused connection turns out to be closed.
  bool at_most_once = false;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// Receives an answer while it arrives. Returning false ends the call; so does
// an exception, which is thrown on. Empty members take everything.
struct HttpSink {
  std::function<bool(int status, const std::vector<HttpHeader>& headers)> head;
  std::function<bool(const char* bytes, size_t count)> body;
  // Asked about once a second and after each piece; true ends the call.
  std::function<bool()> cancelled;
};

// Performs one call and returns its answer, whatever its status. Throws
// base::NotReachedError when no connection came about or the request can't be
// sent as it stands, and
// base::UnknownOutcomeError when the answer stayed away or broke off. `step`
// names the call in errors.
HttpResponse HttpCall(const std::string& step, const HttpRequest& request);

// Like HttpCall, but hands the answer to `sink` piece by piece. Returns false
// when the sink ended the call.
bool HttpStream(const std::string& step,
                const HttpRequest& request,
                const HttpSink& sink);

// Returns the value of the first header of that name, or "". Letter case
// doesn't matter.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_HTTP_CLIENT_H_
