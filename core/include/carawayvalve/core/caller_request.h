#ifndef CARAWAYVALVE_CORE_CALLER_REQUEST_H_
#define CARAWAYVALVE_CORE_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// A part of a prompt. Requests that begin with the same parts can use one
// another's KV cache.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// What a request asks of a model.
struct Prompt {
  base::ModelId model;
  // In order; the last one belongs to the request alone or to its session.
  std::vector<PromptPart> parts;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;

  bool operator==(const Prompt&) const = default;
};

// A caller's request as the decisions need it.
struct CallerRequest {
  base::RequestId id;
  // None when the caller sent no key; two keys count as none.
  std::optional<std::string> key;
  // How long the caller waits, from when it sent the request.
  std::optional<base::Milliseconds> timeout;
  std::optional<Prompt> prompt;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CALLER_REQUEST_H_
