#include "carawayvalve/core/backend_rate_limits.h"

#include <utility>

namespace carawayvalve::core {

bool BackendRateLimits::NoteStatement(const BackendRateStatement& statement) {
  const auto found = this->records.find(statement.id);
  if (found == this->records.end()) {
    if (std::holds_alternative<NoRateLimit>(statement.statement)) {
      return false;
    }
    this->records.emplace(statement.id, statement);
    return true;
  }
  BackendRateStatement& known = found->second;
  if (std::pair(statement.started_ms, statement.stated) <
      std::pair(known.started_ms, known.stated)) {
    return false;
  }
  const RateStatement before = std::exchange(known, statement).statement;
  return before != statement.statement;
}

RateStatement BackendRateLimits::StatementOf(
    const base::BackendServerId& id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? RateStatement(NoRateLimit{})
                                      : found->second.statement;
}

}  // namespace carawayvalve::core
