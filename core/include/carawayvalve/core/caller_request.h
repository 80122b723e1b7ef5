#ifndef CARAWAYVALVE_CORE_CALLER_REQUEST_H_
#define CARAWAYVALVE_CORE_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// No prompt has more tokens; larger counts of callers count as this.
inline constexpr int64_t kMaxPromptTokens = 100'000'000;

// Returns a count that a caller states as one that a prompt can have.
int64_t BoundTokens(int64_t stated);

// A part of a prompt. Requests that begin with the same parts can share KV
// cache entries.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// A request's input for a model.
struct Prompt {
  base::ModelId model;
  // In order; the last part is specific to the request or its session.
  std::vector<PromptPart> parts;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;

  bool operator==(const Prompt&) const = default;
};

// Returns the identities of the parts that other requests for the model may
// share: of the first 64, all but the last of all. Long ones are hashed.
std::vector<std::string> SharedPartsOf(const Prompt& prompt);

// The properties of a caller's request that routing and retries depend on.
struct CallerRequest {
  base::RequestId id;
  // Empty if the caller sent no key, or more than one.
  std::optional<std::string> key;
  // How long the caller waits, counted from when it sent the request.
  std::optional<base::Milliseconds> timeout;
  std::optional<Prompt> prompt;
  // The caller takes a stream up after the event with this id.
  std::optional<std::string> after_event;
  // The request that brought the caller the first event of that stream.
  std::optional<base::RequestId> resumes;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CALLER_REQUEST_H_
