#ifndef CARAWAYVALVE_GATEWAY_SRC_EXPLANATION_H_
#define CARAWAYVALVE_GATEWAY_SRC_EXPLANATION_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "carawayvalve/core/caller_request.h"
#include "context.h"

namespace carawayvalve::gateway {

// A request that an operator asks about, which is never sent.
struct ExplainedRequest {
  std::string host;
  std::string path;
  // Stands for a key of that account. Open routes need none.
  std::optional<base::ClientAccountId> account;
  core::CallerRequest caller;

  bool operator==(const ExplainedRequest&) const = default;
};

// Reads a request as JSON, see docs/OPERATING.md. Throws a base::Error that
// lists every fault with its path.
ExplainedRequest ReadExplainedRequest(const std::string& text);

// Says where the request would go if it arrived now, and why, or why it would
// be refused. Decides by the same functions as RequestHandler, on copies of
// what they change.
nlohmann::ordered_json Explain(const Context& context,
                               const ExplainedRequest& request,
                               base::Instant now);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_EXPLANATION_H_
