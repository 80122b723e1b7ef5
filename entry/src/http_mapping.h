#ifndef CARAWAYVALVE_ENTRY_SRC_HTTP_MAPPING_H_
#define CARAWAYVALVE_ENTRY_SRC_HTTP_MAPPING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "exchange.h"

namespace carawayvalve::entry {

// A caller's HTTP request as received.
struct CallerRequest {
  std::string method;
  std::string target;  // path and query, as sent
  std::string path;
  Headers headers;
  std::string body;
};

// Whether a refused or failed request has run, as reported to its caller.
enum class Outcome { kNotRun, kUnknownOutcome, kIncomplete };

// A refusal or failure, sent to callers as application/problem+json.
struct Problem {
  int status = 500;
  std::string title;
  std::string detail = {};
  Outcome outcome = Outcome::kNotRun;
  base::Milliseconds retry_after{0};
  // The allowed methods, for status 405.
  std::string allow = {};
  // The same request would meet the same answer again.
  bool final = false;

  bool operator==(const Problem&) const = default;
};

// A request for a chat or text completion.
struct CompletionRequest {
  base::ModelId model;
  std::string prompt;
  // Identities of the messages that other chats may share: all but the last.
  std::vector<std::string> shared_parts = {};
  int32_t max_tokens = 0;
  bool chat = false;
  bool stream = false;
  bool include_usage = false;

  bool operator==(const CompletionRequest&) const = default;
};

inline constexpr char kChatPath[] = "/v1/chat/completions";
inline constexpr char kCompletionsPath[] = "/v1/completions";
inline constexpr char kDeadlineHeader[] = "X-Request-Deadline-Ms";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// Returns the value of the first header of that name, ignoring case, or "".
std::string FindHeader(const Headers& headers, const std::string& name);

// Parses the body of a completion request. Never throws.
std::variant<CompletionRequest, Problem> ParseCompletion(
    const std::string& path,
    const std::string& body);

// Returns the key of the Authorization header, nothing if there is no such
// header, or a problem if it isn't 'Bearer KEY'.
std::variant<std::optional<std::string>, Problem> ParseBearerKey(
    const Headers& headers);

// Returns the deadline that the caller asks for, nothing if it asks for none,
// or a problem if it is malformed or longer than `max_deadline`.
std::variant<std::optional<base::Milliseconds>, Problem> ParseDeadline(
    const Headers& headers,
    base::Milliseconds max_deadline);

// Returns the headers to forward to a plain service: all except the caller's
// key, hop-by-hop headers and malformed ones.
Headers ForwardedHeaders(const Headers& headers);
// Returns the headers of a plain service's answer to forward to the caller: all
// except hop-by-hop headers and malformed ones.
Headers ReturnedHeaders(const Headers& headers);

// Returns a problem of status 400 with this detail.
Problem BadRequest(const std::string& detail);

// Returns the outcome's name in problem answers.
const char* OutcomeName(Outcome outcome);

ExchangeHead ProblemHead(const Problem& problem,
                         const base::RequestId& request);
std::string ProblemBody(const Problem& problem, const base::RequestId& request);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_HTTP_MAPPING_H_
