#include "http_mapping.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::entry {

namespace {

using nlohmann::json;

constexpr int32_t kDefaultMaxTokens = 1024;
constexpr int32_t kMaxTokensLimit = 1000000;
constexpr char kBearer[] = "Bearer ";
constexpr size_t kMaxKeyBytes = 512;
// Hexadecimal digits of the digests that identify messages.
constexpr size_t kPartDigestDigits = 16;
constexpr base::Milliseconds kMinRetryAfter{1000};

std::string Lower(const std::string& text) {
  std::string lower = text;
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char character) {
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character + 32)
               : character;
  });
  return lower;
}

// Thrown for a missing or invalid member of a completion request.
class InvalidMember : public std::exception {
 public:
  explicit InvalidMember(const std::string& detail) : detail(detail) {}
  const char* what() const noexcept override { return this->detail.c_str(); }

 private:
  std::string detail;
};

const json* Find(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string RequiredString(const json& object, const char* name) {
  const json* value = Find(object, name);
  if (value == nullptr || !value->is_string()) {
    throw InvalidMember(std::string("'") + name + "' must be a string");
  }
  return value->get<std::string>();
}

bool OptionalBoolean(const json& object, const char* name) {
  const json* value = Find(object, name);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    throw InvalidMember(std::string("'") + name + "' must be true or false");
  }
  return value->get<bool>();
}

int32_t ReadMaxTokens(const json& object) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const json* value = Find(object, name);
    if (value == nullptr) {
      continue;
    }
    if (!value->is_number_integer() || *value < 1 || *value > kMaxTokensLimit) {
      throw InvalidMember(std::string("'") + name +
                          "' must be a whole number from 1 to " +
                          std::to_string(kMaxTokensLimit));
    }
    return value->get<int32_t>();
  }
  return kDefaultMaxTokens;
}

// Returns the text of a message's content, a string or an array of text parts.
std::string ContentText(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  if (!content.is_array()) {
    throw InvalidMember("a message's 'content' must be a string or text parts");
  }
  std::string text;
  for (const json& part : content) {
    // By reference: a copy of a deeply nested value would overflow the stack.
    const json* type = part.is_object() ? Find(part, "type") : nullptr;
    if (type == nullptr || *type != "text") {
      throw InvalidMember("only content parts of type 'text' are supported");
    }
    text += RequiredString(part, "text");
  }
  return text;
}

std::string MessageText(const json& message) {
  if (!message.is_object() || Find(message, "content") == nullptr) {
    throw InvalidMember("each message must have 'role' and 'content'");
  }
  return RequiredString(message, "role") + ": " +
         ContentText(message["content"]) + "\n";
}

// Sets the prompt of a chat and the parts that other chats may share.
void ReadMessages(const json& object, CompletionRequest& request) {
  const json* messages = Find(object, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty()) {
    throw InvalidMember("'messages' must be an array that isn't empty");
  }
  for (const json& message : *messages) {
    const std::string text = MessageText(message);
    request.prompt += text;
    request.shared_parts.push_back(
        request.model.value + "/" +
        base::Sha256(text).substr(0, kPartDigestDigits));
  }
  request.shared_parts.pop_back();
  request.prompt += "assistant:";
}

void RefuseSeveralChoices(const json& object) {
  const json* count = Find(object, "n");
  if (count != nullptr && *count != 1) {
    throw InvalidMember("'n' must be 1");
  }
}

bool IncludeUsage(const json& object) {
  const json* options = Find(object, "stream_options");
  return options != nullptr && options->is_object() &&
         OptionalBoolean(*options, "include_usage");
}

CompletionRequest ReadCompletion(bool chat, const json& object) {
  CompletionRequest request;
  request.chat = chat;
  request.model = {RequiredString(object, "model")};
  if (chat) {
    ReadMessages(object, request);
  } else {
    request.prompt = RequiredString(object, "prompt");
  }
  request.max_tokens = ReadMaxTokens(object);
  request.stream = OptionalBoolean(object, "stream");
  request.include_usage = IncludeUsage(object);
  RefuseSeveralChoices(object);
  return request;
}

// Returns how long a caller should wait before it retries; zero if a retry
// would get the same answer.
base::Milliseconds RetryAfterOf(const Problem& problem) {
  constexpr int kConflict = 409;
  static const std::set<int> kTransient = {kConflict, 429, 503, 504};
  if (problem.outcome == Outcome::kNotRun) {
    return kTransient.contains(problem.status)
               ? std::max(problem.retry_after, kMinRetryAfter)
               : base::Milliseconds(0);
  }
  // A conflict here means that an earlier call with the same Idempotency-Key
  // has a final result.
  return problem.status == kConflict ? base::Milliseconds(0)
                                     : problem.retry_after;
}

// Lower-case names of hop-by-hop headers and of those that carry the caller's
// key.
const std::set<std::string>& NonForwardedHeaders() {
  static const std::set<std::string> kNames = {"authorization",
                                               "proxy-authorization",
                                               "x-api-key",
                                               "connection",
                                               "keep-alive",
                                               "proxy-connection",
                                               "te",
                                               "trailer",
                                               "transfer-encoding",
                                               "upgrade",
                                               "content-length",
                                               "expect",
                                               "host"};
  return kNames;
}

// Returns whether the name is a token of RFC 9110. Backend servers may treat an
// invalid name, such as `Authorization ` with a space, as the valid name.
bool IsHeaderName(const std::string& name) {
  constexpr char kSymbols[] = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [&](char character) {
           return (character >= 'a' && character <= 'z') ||
                  (character >= 'A' && character <= 'Z') ||
                  (character >= '0' && character <= '9') ||
                  std::string_view(kSymbols).find(character) !=
                      std::string_view::npos;
         });
}

// Returns whether the value has no control bytes, which could start another
// header.
bool IsHeaderValue(const std::string& value) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::all_of(value.begin(), value.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return (byte >= kFirstPrintable && byte != kDelete) || byte == '\t';
  });
}

// Removes the headers of these lower-case names, and malformed ones.
Headers RemoveHeaders(const Headers& headers,
                      const std::set<std::string>& names) {
  Headers kept;
  for (const auto& header : headers) {
    if (IsHeaderName(header.first) && IsHeaderValue(header.second) &&
        !names.contains(Lower(header.first))) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace

Problem BadRequest(const std::string& detail) {
  return {.status = 400, .title = "Bad request", .detail = detail};
}

std::string FindHeader(const Headers& headers, const std::string& name) {
  const std::string lower_name = Lower(name);
  for (const auto& [key, value] : headers) {
    if (Lower(key) == lower_name) {
      return value;
    }
  }
  return "";
}

std::variant<CompletionRequest, Problem> ParseCompletion(
    const std::string& path,
    const std::string& body) {
  const base::ForeignJson parsed = base::ParseForeignJson(body);
  if (!parsed.fault.empty()) {
    return BadRequest("the body can't be read as JSON: " + parsed.fault);
  }
  if (!parsed.value.is_object()) {
    return BadRequest("the body must be a JSON object");
  }
  try {
    return ReadCompletion(path == kChatPath, parsed.value);
  } catch (const InvalidMember& error) {
    return BadRequest(error.what());
  }
}

std::variant<std::optional<std::string>, Problem> ParseBearerKey(
    const Headers& headers) {
  const std::string value = FindHeader(headers, "Authorization");
  if (value.empty()) {
    return std::optional<std::string>();
  }
  const size_t prefix = sizeof(kBearer) - 1;
  if (Lower(value.substr(0, prefix)) != Lower(kBearer) ||
      value.size() == prefix || value.size() > kMaxKeyBytes) {
    return Problem{.status = 401,
                   .title = "Unauthorized",
                   .detail = "the Authorization header must be 'Bearer KEY'"};
  }
  return std::optional<std::string>(value.substr(prefix));
}

std::variant<std::optional<base::Milliseconds>, Problem> ParseDeadline(
    const Headers& headers,
    base::Milliseconds max_deadline) {
  const std::string value = FindHeader(headers, kDeadlineHeader);
  if (value.empty()) {
    return std::optional<base::Milliseconds>();
  }
  int64_t milliseconds = 0;
  const char* end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, milliseconds);
  if (error != std::errc() || rest != end || milliseconds < 1 ||
      milliseconds > max_deadline.count()) {
    return BadRequest(std::string(kDeadlineHeader) +
                      " must be a whole number from 1 to " +
                      std::to_string(max_deadline.count()));
  }
  return std::optional<base::Milliseconds>(milliseconds);
}

Headers ForwardedHeaders(const Headers& headers) {
  return RemoveHeaders(headers, NonForwardedHeaders());
}

Headers ReturnedHeaders(const Headers& headers) {
  return RemoveHeaders(
      headers, {"connection", "keep-alive", "proxy-connection", "trailer",
                "transfer-encoding", "upgrade", "content-length"});
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknownOutcome:
      return "unknown_outcome";
    case Outcome::kIncomplete:
      return "incomplete";
  }
  return "unknown_outcome";
}

ExchangeHead ProblemHead(const Problem& problem,
                         const base::RequestId& request) {
  ExchangeHead head;
  head.status = problem.status;
  head.headers = {{"Content-Type", "application/problem+json"},
                  {"X-Request-Id", request.value}};
  const base::Milliseconds retry_after = RetryAfterOf(problem);
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    head.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  if (!problem.allow.empty()) {
    head.headers.emplace_back("Allow", problem.allow);
  }
  return head;
}

std::string ProblemBody(const Problem& problem,
                        const base::RequestId& request) {
  // OpenAI-compatible clients read the `error` member.
  const json body = {{"title", problem.title},
                     {"status", problem.status},
                     {"detail", problem.detail},
                     {"outcome", OutcomeName(problem.outcome)},
                     {"request_id", request.value},
                     {"error",
                      {{"message", problem.detail},
                       {"type", problem.title},
                       {"code", OutcomeName(problem.outcome)}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace carawayvalve::entry
