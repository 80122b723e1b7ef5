#ifndef CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_
#define CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_

#include <string>

#include "carawayvalve/net/message.h"

namespace carawayvalve::tests {

// The field of a request with the tokens of its prompt and the most that it
// may generate.
inline constexpr char kTokenCountsField[] = "X-Token-Count";
// The field with the milliseconds that its caller waits.
inline constexpr char kDeadlineField[] = "X-Deadline-Ms";
// The field with a caller's key.
inline constexpr char kKeyField[] = "X-Credential";

// Returns a model request as the platform's callers send it. `parts` are those
// of its prompt; by default the first is long and shared.
net::Request PromptRequest(const std::string& host,
                           const std::string& target,
                           const std::string& id,
                           const std::string& parts = "aa:13000,bb:4000");

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_
