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

// A request as a caller's connection brought it.
struct CallerRequest {
  std::string method;
  std::string target;  // path and query, as sent
  std::string path;
  Headers headers;
  std::string body;
};

// Whether the request ran, in the words that problem answers carry.
enum class Outcome { kNotRun, kUnknownOutcome, kIncomplete };

// A refusal or failure, as callers see it (application/problem+json).
struct Problem {
  int status = 500;
  std::string title;
  std::string detail = {};
  Outcome outcome = Outcome::kNotRun;
  base::Milliseconds retry_after{0};
  // For 405: the methods that are allowed.
  std::string allow = {};

  bool operator==(const Problem&) const = default;
};

// A chat or text completion.
struct CompletionRequest {
  base::ModelId model;
  std::string prompt;
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

// Returns the value of the first header of that name, or "".
std::string FindHeader(const Headers& headers, const std::string& name);

// Reads the body of a completion request. Never throws.
std::variant<CompletionRequest, Problem> ParseCompletion(
    const std::string& path,
    const std::string& body);

// Returns the key of an Authorization header, nothing when there is none, or a
// problem when the header has another form.
std::variant<std::optional<std::string>, Problem> ParseBearerKey(
    const Headers& headers);

// Returns the deadline that the caller asks for, nothing when it doesn't.
std::variant<std::optional<base::Milliseconds>, Problem> ParseDeadline(
    const Headers& headers,
    base::Milliseconds max_deadline);

// Returns the headers that go on to a plain service: without the caller's key,
// without those that belong to one connection, and without malformed ones.
Headers ForwardedHeaders(const Headers& headers);
// The same for a plain service's answer on its way to the caller.
Headers ReturnedHeaders(const Headers& headers);

// A 400 with this detail.
Problem BadRequest(const std::string& detail);

const char* OutcomeName(Outcome outcome);

ExchangeHead ProblemHead(const Problem& problem,
                         const base::RequestId& request);
std::string ProblemBody(const Problem& problem, const base::RequestId& request);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_HTTP_MAPPING_H_
