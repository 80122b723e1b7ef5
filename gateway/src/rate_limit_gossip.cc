#include "rate_limit_gossip.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// Changes of backend servers' request rates are named in each message for this
// time, and all rates once in kAllInterval.
constexpr std::chrono::seconds kNewsAge(2);
constexpr std::chrono::seconds kAllInterval(1);
constexpr size_t kMaxStatementsPerMessage = 32;

wire::gen::GossipRateLimit ToGossipRateLimit(
    const core::BackendRateStatement& statement,
    base::Instant now) {
  wire::gen::GossipRateLimit encoded;
  encoded.backend_server = statement.id.value;
  encoded.started_ms = statement.started_ms;
  if (const auto* limit = std::get_if<core::RateLimit>(&statement.statement)) {
    encoded.__set_per_second(limit->per_second);
  }
  encoded.age_ms =
      static_cast<int32_t>(base::ToMilliseconds(now - statement.stated));
  return encoded;
}

core::BackendRateStatement FromGossip(
    const wire::gen::GossipRateLimit& received,
    base::Instant now) {
  core::BackendRateStatement statement;
  statement.id = {received.backend_server};
  statement.started_ms = received.started_ms;
  if (received.__isset.per_second) {
    statement.statement = core::RateLimit{received.per_second};
  }
  statement.stated = now - base::Milliseconds(std::max(received.age_ms, 0));
  statement.asked = statement.stated;
  statement.from_peer = true;
  return statement;
}

}  // namespace

void RateLimitGossip::AddTo(Gossip& gossip) {
  const core::BackendRateLimits& limits = this->context.state.rate_limits;
  const base::Instant now = base::Now();
  const bool all = now - this->all_sent_at >= kAllInterval;
  const auto statements =
      all ? limits.OwnStatements(now) : limits.OwnNews(now - kNewsAge, now);
  if (all) {
    this->all_sent_at = now;
  }
  const size_t count = std::min(statements.size(), kMaxStatementsPerMessage);
  for (size_t i = 0; i < count; ++i) {
    gossip.rate_limits.push_back(ToGossipRateLimit(
        statements[this->next_statement++ % statements.size()], now));
  }
  gossip.__isset.rate_limits = !gossip.rate_limits.empty();
}

void RateLimitGossip::Apply(const Gossip& gossip, base::Instant now) {
  for (const wire::gen::GossipRateLimit& received : gossip.rate_limits) {
    const bool known = this->context.state.directory.Find(
                           {received.backend_server}) != nullptr;
    const bool valid = !received.__isset.per_second || received.per_second >= 0;
    if (known && valid) {
      this->context.NoteBackendRate(FromGossip(received, now), gossip.host);
    }
  }
}

}  // namespace carawayvalve::gateway
