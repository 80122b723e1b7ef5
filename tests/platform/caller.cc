#include "caller.h"

namespace carawayvalve::tests {

net::Request PromptRequest(const std::string& host,
                           const std::string& target,
                           const std::string& id,
                           const std::string& parts) {
  return {"POST",
          target,
          {{"Host", host},
           {"X-Request-Id", id},
           {"X-Model", "m"},
           {kTokenCountsField, "17000,100"},
           {"X-Prompt-Prefix", parts}},
          ""};
}

}  // namespace carawayvalve::tests
