// What entry processes read of their attempts.
#include <algorithm>

#include "attempt_service.h"
#include "carawayvalve/wire/limits.h"

namespace carawayvalve::agent {

namespace {

constexpr size_t kMostBytesPerRead = 256 * 1024;
// All attempts in one answer to a reader share this.
constexpr size_t kMostBytesPerAnswer = 4 * 1024 * 1024;
static_assert(kMostBytesPerAnswer < wire::kMaxMessageBytes / 2,
              "what goes with the bytes must fit in the message as well");

}  // namespace

std::vector<AttemptNews> AttemptService::Read(
    const base::BootId& entry,
    const std::vector<ReadPosition>& positions,
    base::Milliseconds wait) {
  std::map<base::AttemptId, ReadPosition> known;
  for (const ReadPosition& position : positions) {
    known[position.attempt] = position;
  }
  const base::Instant until = base::Now() + wait;
  std::unique_lock lock(this->mutex);
  for (;;) {
    std::vector<AttemptNews> collected = this->Collect(entry, known);
    if (!collected.empty() || this->closed) {
      this->space.notify_all();
      return collected;
    }
    if (this->news.wait_until(lock, until) == std::cv_status::timeout) {
      return {};
    }
  }
}

std::vector<AttemptNews> AttemptService::Collect(
    const base::BootId& entry,
    const std::map<base::AttemptId, ReadPosition>& positions) {
  Reader& reader = this->readers[entry];
  this->ForgetHeard(reader, positions);
  const std::vector<ReadPosition> with_news =
      this->PositionsWithNews(reader, positions);
  if (with_news.empty()) {
    return {};
  }
  const size_t share = std::clamp<size_t>(
      kMostBytesPerAnswer / with_news.size(), 1, kMostBytesPerRead);
  std::vector<AttemptNews> collected;
  collected.reserve(with_news.size());
  for (const ReadPosition& position : with_news) {
    collected.push_back(this->Tell(reader, position, share));
  }
  return collected;
}

// An attempt that the reader doesn't ask for is read from its start.
std::vector<ReadPosition> AttemptService::PositionsWithNews(
    const Reader& reader,
    const std::map<base::AttemptId, ReadPosition>& positions) const {
  std::vector<ReadPosition> with_news;
  for (const auto& [attempt, position] : positions) {
    if (position.most_bytes > 0 &&
        this->ledger.HasUpdate(attempt, position.offset)) {
      with_news.push_back(position);
    }
  }
  for (const base::AttemptId& attempt : reader.unread) {
    if (!positions.contains(attempt) && this->ledger.HasUpdate(attempt, 0)) {
      with_news.push_back({attempt, 0, kMostBytesPerRead});
    }
  }
  return with_news;
}

AttemptNews AttemptService::Tell(Reader& reader,
                                 const ReadPosition& position,
                                 size_t most_bytes) {
  const base::AttemptId& attempt = position.attempt;
  AttemptNews told{attempt,
                   this->ledger.Read(attempt, position.offset,
                                     std::min(position.most_bytes, most_bytes)),
                   this->DeathOf(attempt)};
  if (told.view.last) {
    reader.unread.erase(attempt);
    reader.told.insert(attempt);
  }
  return told;
}

std::string AttemptService::DeathOf(const base::AttemptId& attempt) const {
  const auto found = std::find_if(
      this->deaths.begin(), this->deaths.end(),
      [&](const Death& death) { return death.attempt == attempt; });
  return found == this->deaths.end() ? "" : found->death_id;
}

// A reader that no longer asks for an attempt has heard its end.
void AttemptService::ForgetHeard(
    Reader& reader,
    const std::map<base::AttemptId, ReadPosition>& positions) {
  std::erase_if(reader.told, [&](const base::AttemptId& attempt) {
    if (positions.contains(attempt)) {
      return false;
    }
    this->ledger.DropOutput(attempt);
    this->entries.erase(attempt);
    return true;
  });
}

}  // namespace carawayvalve::agent
