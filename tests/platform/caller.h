#ifndef CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_
#define CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_

#include <string>

#include "carawayvalve/net/message.h"

namespace carawayvalve::tests {

// Returns a model request as the platform's callers send it, with a long shared
// prompt prefix.
net::Request PromptRequest(const std::string& host,
                           const std::string& target,
                           const std::string& id);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_CALLER_H_
