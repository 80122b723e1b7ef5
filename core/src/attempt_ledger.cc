#include "carawayvalve/core/attempt_ledger.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

bool HasEnded(AttemptPhase phase) {
  return phase == AttemptPhase::kFinished || phase == AttemptPhase::kNotRun;
}

}  // namespace

AttemptLedger::AttemptLedger(base::Duration retention) : retention(retention) {}

AttemptLedger::Record* AttemptLedger::Find(const base::AttemptId& attempt) {
  const auto found = this->records.find(attempt);
  return found == this->records.end() ? nullptr : &found->second;
}

const AttemptLedger::Record* AttemptLedger::Find(
    const base::AttemptId& attempt) const {
  const auto found = this->records.find(attempt);
  return found == this->records.end() ? nullptr : &found->second;
}

bool AttemptLedger::Queue(const base::AttemptId& attempt, base::Instant now) {
  Record record;
  record.ended = now;
  return this->records.emplace(attempt, record).second;
}

bool AttemptLedger::Start(const base::AttemptId& attempt) {
  Record* record = this->Find(attempt);
  if (record == nullptr || record->phase != AttemptPhase::kQueued) {
    return false;
  }
  record->phase = AttemptPhase::kRunning;
  return true;
}

void AttemptLedger::Append(const base::AttemptId& attempt,
                           const std::string& bytes) {
  Record* record = this->Find(attempt);
  if (record != nullptr && record->phase == AttemptPhase::kRunning) {
    record->output += bytes;
  }
}

void AttemptLedger::Finish(const base::AttemptId& attempt,
                           AttemptOutcome outcome,
                           const std::string& reason,
                           base::Instant now) {
  Record* record = this->Find(attempt);
  if (record == nullptr || record->phase != AttemptPhase::kRunning) {
    return;
  }
  record->phase = AttemptPhase::kFinished;
  record->outcome = outcome;
  record->reason = reason;
  record->ended = now;
}

void AttemptLedger::MarkNotRun(const base::AttemptId& attempt,
                               const std::string& reason,
                               base::Instant now) {
  Record* record = this->Find(attempt);
  if (record == nullptr || HasEnded(record->phase)) {
    return;
  }
  record->phase = AttemptPhase::kNotRun;
  record->reason = reason;
  record->ended = now;
}

void AttemptLedger::Abandon(const base::AttemptId& attempt, base::Instant now) {
  const auto [place, added] = this->records.try_emplace(attempt);
  Record& record = place->second;
  if (added || record.phase == AttemptPhase::kQueued) {
    record.phase = AttemptPhase::kNotRun;
    record.reason = "abandoned before it started";
    record.ended = now;
  }
}

AttemptPhase AttemptLedger::Abandon(const base::AttemptId& attempt,
                                    base::Instant submitted,
                                    base::Instant now) {
  const bool known = this->records.contains(attempt);
  if (!known && now - submitted > this->retention) {
    return AttemptPhase::kUnknown;
  }
  this->Abandon(attempt, now);
  return this->PhaseOf(attempt);
}

AttemptView AttemptLedger::Read(const base::AttemptId& attempt,
                                int64_t offset,
                                size_t max_bytes) {
  Record* record = this->Find(attempt);
  if (record == nullptr) {
    return {};
  }
  const int64_t end =
      record->first_offset + static_cast<int64_t>(record->output.size());
  const int64_t from = std::clamp(offset, record->first_offset, end);
  record->output.erase(0, static_cast<size_t>(from - record->first_offset));
  record->first_offset = from;

  AttemptView view;
  view.phase = record->phase;
  view.outcome = record->outcome;
  view.reason = record->reason;
  view.offset = from;
  view.bytes = record->output.substr(0, max_bytes);
  view.last =
      HasEnded(record->phase) && view.bytes.size() == record->output.size();
  return view;
}

bool AttemptLedger::HasUpdate(const base::AttemptId& attempt,
                              int64_t offset) const {
  const Record* record = this->Find(attempt);
  if (record == nullptr || HasEnded(record->phase)) {
    return true;
  }
  return record->first_offset + static_cast<int64_t>(record->output.size()) >
         offset;
}

AttemptPhase AttemptLedger::PhaseOf(const base::AttemptId& attempt) const {
  const Record* record = this->Find(attempt);
  return record == nullptr ? AttemptPhase::kUnknown : record->phase;
}

size_t AttemptLedger::UnreadBytes(const base::AttemptId& attempt) const {
  const Record* record = this->Find(attempt);
  return record == nullptr ? 0 : record->output.size();
}

void AttemptLedger::DropOutput(const base::AttemptId& attempt) {
  Record* record = this->Find(attempt);
  if (record == nullptr || !HasEnded(record->phase)) {
    return;
  }
  record->first_offset += static_cast<int64_t>(record->output.size());
  record->output = std::string();
}

void AttemptLedger::Prune(base::Instant now) {
  std::erase_if(this->records, [&](const auto& entry) {
    const Record& record = entry.second;
    return HasEnded(record.phase) && now - record.ended > this->retention;
  });
}

}  // namespace carawayvalve::core
