#include "carawayvalve/core/backend_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

// A backend server that takes fewer requests gets this many.
constexpr double kMinPerSecond = 0.2;
// A limit that no process has seen confirmed for this time may have been
// withdrawn.
constexpr std::chrono::seconds kUnconfirmedTime(5);
// Time that the processes without a share leave to each other to find out, and
// to tell.
constexpr base::Milliseconds kTrialInterval(200);
// Withdrawals are told to other processes for this time.
constexpr std::chrono::seconds kWithdrawalAge(10);
// Changes of a limit by less than this part aren't news.
constexpr double kMinChange = 0.1;

}  // namespace

std::optional<double> RateToKeep(const RateStatement& statement) {
  const auto* limit = std::get_if<RateLimit>(&statement);
  return limit == nullptr
             ? std::nullopt
             : std::optional(std::max(limit->per_second, kMinPerSecond));
}

std::optional<double> BackendRateLimits::LimitOf(const Record& record) {
  return record.stated.has_value() ? RateToKeep(record.stated->statement)
                                   : std::nullopt;
}

int64_t BackendRateLimits::SharerCount(double limit) const {
  constexpr double kMaxSharers = 1e6;
  const auto most = static_cast<int64_t>(std::min(limit, kMaxSharers));
  return std::min(std::max<int64_t>(most, 1), this->sharers.known);
}

void BackendRateLimits::ApplyShare(const base::BackendServerId& id,
                                   Record& record,
                                   base::Instant now) const {
  const std::optional<double> limit = LimitOf(record);
  if (!limit.has_value()) {
    record.pacer.SetRate(std::nullopt, now);
    return;
  }
  const auto ranked = RankHolders("rate/" + id.value, this->sharers.live);
  record.rank = std::find(ranked.begin(), ranked.end(), this->sharers.self) -
                ranked.begin();
  const int64_t count = this->SharerCount(*limit);
  record.pacer.SetRate(
      *limit / static_cast<double>(std::max<int64_t>(count, 1)), now);
}

void BackendRateLimits::SetSharers(const RateSharers& sharers,
                                   base::Instant now) {
  if (this->sharers == sharers) {
    return;
  }
  this->sharers = sharers;
  for (auto& [id, record] : this->records) {
    if (LimitOf(record).has_value()) {
      this->ApplyShare(id, record, now);
    }
  }
}

bool BackendRateLimits::NoteStatement(const BackendRateStatement& statement,
                                      base::Instant now) {
  const bool withdraws =
      std::holds_alternative<NoRateLimit>(statement.statement);
  const auto found = this->records.find(statement.id);
  const bool is_first =
      found == this->records.end() || !found->second.stated.has_value();
  if (is_first && withdraws) {
    return false;
  }
  Record& record = is_first ? this->records[statement.id] : found->second;
  if (!is_first) {
    const BackendRateStatement& known = *record.stated;
    const bool same_run = statement.started_ms == known.started_ms;
    const bool limited = std::holds_alternative<RateLimit>(known.statement);
    if (statement.started_ms < known.started_ms ||
        (same_run && statement.stated < known.stated) ||
        (same_run && withdraws && limited && statement.asked < known.stated)) {
      return false;
    }
  }
  const std::optional<double> before = LimitOf(record);
  record.stated = statement;
  const std::optional<double> limit = LimitOf(record);
  if (limit != before) {
    this->ApplyShare(statement.id, record, now);
  }
  const double announced = limit.value_or(0);
  const bool is_news =
      (announced == 0) != (record.announced == 0) ||
      std::abs(announced - record.announced) > kMinChange * record.announced;
  if (is_news) {
    record.announced = announced;
    record.announced_at = now;
  }
  return is_news;
}

void BackendRateLimits::NoteSent(const base::BackendServerId& id,
                                 base::Instant now) {
  Record& record = this->records[id];
  record.pacer.NoteSent(now);
  record.tried = now;
}

bool BackendRateLimits::MaySend(const base::BackendServerId& id,
                                int64_t started_ms,
                                base::Instant now) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return true;
  }
  const Record& record = found->second;
  const std::optional<double> limit = LimitOf(record);
  if (!limit.has_value() || started_ms > record.stated->started_ms) {
    return true;
  }
  if (record.rank < this->SharerCount(*limit)) {
    return record.pacer.MaySend(now);
  }
  return now >= record.stated->stated + kUnconfirmedTime +
                    kTrialInterval * record.rank &&
         now >= record.tried + kUnconfirmedTime;
}

std::optional<double> BackendRateLimits::ShareOf(
    const base::BackendServerId& id) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return std::nullopt;
  }
  const std::optional<double> limit = LimitOf(found->second);
  if (!limit.has_value()) {
    return std::nullopt;
  }
  const int64_t count = this->SharerCount(*limit);
  return found->second.rank < count ? *limit / static_cast<double>(count) : 0;
}

int64_t BackendRateLimits::limited_count() const {
  return std::count_if(
      this->records.begin(), this->records.end(),
      [](const auto& record) { return LimitOf(record.second).has_value(); });
}

std::vector<BackendRateStatement> BackendRateLimits::OwnNews(
    base::Instant since,
    base::Instant now) const {
  std::vector<BackendRateStatement> statements;
  for (const auto& [id, record] : this->records) {
    if (record.stated.has_value() && !record.stated->from_peer &&
        record.announced_at >= since &&
        (LimitOf(record).has_value() ||
         now - record.stated->stated <= kWithdrawalAge)) {
      statements.push_back(*record.stated);
    }
  }
  return statements;
}

std::vector<BackendRateStatement> BackendRateLimits::OwnStatements(
    base::Instant now) const {
  return this->OwnNews(base::Instant::min(), now);
}

}  // namespace carawayvalve::core
