// The part of AttemptService that delivers output to entry processes.
#include <algorithm>

#include "attempt_service.h"
#include "carawayvalve/wire/limits.h"

namespace carawayvalve::agent {

namespace {

constexpr size_t kMaxBytesPerRead = 256 * 1024;
// Shared by all attempts in one answer to a reader.
constexpr size_t kMaxBytesPerAnswer = 4 * 1024 * 1024;
static_assert(kMaxBytesPerAnswer < wire::kMaxMessageBytes / 2,
              "what goes with the bytes must fit in the message as well");

}  // namespace

std::vector<AttemptUpdate> AttemptService::Read(
    const base::BootId& entry_boot,
    const std::vector<ReadPosition>& positions,
    base::Milliseconds wait) {
  std::map<base::AttemptId, ReadPosition> known;
  for (const ReadPosition& position : positions) {
    known[position.attempt] = position;
  }
  const base::Instant until = base::Now() + wait;
  std::unique_lock lock(this->mutex);
  for (;;) {
    std::vector<AttemptUpdate> collected =
        this->CollectUpdates(entry_boot, known);
    if (!collected.empty() || this->closed) {
      this->space_available.notify_all();
      return collected;
    }
    if (this->update_available.wait_until(lock, until) ==
        std::cv_status::timeout) {
      return {};
    }
  }
}

std::vector<AttemptUpdate> AttemptService::CollectUpdates(
    const base::BootId& entry_boot,
    const std::map<base::AttemptId, ReadPosition>& positions) {
  Reader& reader = this->readers[entry_boot];
  this->DropConfirmed(reader, positions);
  const std::vector<ReadPosition> with_updates =
      this->PositionsWithUpdates(reader, positions);
  if (with_updates.empty()) {
    return {};
  }
  const size_t share = std::clamp<size_t>(
      kMaxBytesPerAnswer / with_updates.size(), 1, kMaxBytesPerRead);
  std::vector<AttemptUpdate> collected;
  collected.reserve(with_updates.size());
  for (const ReadPosition& position : with_updates) {
    collected.push_back(this->ReadAttempt(reader, position, share));
  }
  return collected;
}

// An unread attempt without a position is read from its start: the reader
// hasn't received any of its output.
std::vector<ReadPosition> AttemptService::PositionsWithUpdates(
    const Reader& reader,
    const std::map<base::AttemptId, ReadPosition>& positions) const {
  std::vector<ReadPosition> with_updates;
  for (const auto& [attempt, position] : positions) {
    if (position.max_bytes > 0 &&
        this->ledger.HasUpdate(attempt, position.offset)) {
      with_updates.push_back(position);
    }
  }
  for (const base::AttemptId& attempt : reader.unread) {
    if (!positions.contains(attempt) && this->ledger.HasUpdate(attempt, 0)) {
      with_updates.push_back({attempt, 0, kMaxBytesPerRead});
    }
  }
  return with_updates;
}

AttemptUpdate AttemptService::ReadAttempt(Reader& reader,
                                          const ReadPosition& position,
                                          size_t max_bytes) {
  const base::AttemptId& attempt = position.attempt;
  AttemptUpdate update{
      attempt,
      this->ledger.Read(attempt, position.offset,
                        std::min(position.max_bytes, max_bytes)),
      this->DeathIdOf(attempt)};
  if (update.view.last) {
    reader.unread.erase(attempt);
    reader.unconfirmed.insert(attempt);
  }
  return update;
}

std::string AttemptService::DeathIdOf(const base::AttemptId& attempt) const {
  const auto found = std::find_if(
      this->crashes.begin(), this->crashes.end(),
      [&](const AttemptCrash& crash) { return crash.attempt == attempt; });
  return found == this->crashes.end() ? "" : found->death_id;
}

// A reader that no longer requests an attempt has received its end.
void AttemptService::DropConfirmed(
    Reader& reader,
    const std::map<base::AttemptId, ReadPosition>& positions) {
  std::erase_if(reader.unconfirmed, [&](const base::AttemptId& attempt) {
    if (positions.contains(attempt)) {
      return false;
    }
    this->ledger.DropOutput(attempt);
    this->records.erase(attempt);
    return true;
  });
}

}  // namespace carawayvalve::agent
