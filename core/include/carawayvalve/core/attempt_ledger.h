#ifndef CARAWAYVALVE_CORE_ATTEMPT_LEDGER_H_
#define CARAWAYVALVE_CORE_ATTEMPT_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

enum class AttemptPhase {
  kQueued,
  kRunning,
  kFinished,  // `outcome` holds the result
  kNotRun,    // has not run and never will at this agent
  kUnknown,   // this run of the agent has no record of the attempt
};

enum class AttemptOutcome {
  kNone,
  kAnswered,   // the backend server sent a complete answer
  kUnknown,    // the backend server may or may not have run the attempt
  kBrokenOff,  // the backend server stopped before the end of its answer
  kCancelled,
};

// The state of one attempt at its agent, with output from an offset on.
struct AttemptView {
  AttemptPhase phase = AttemptPhase::kUnknown;
  AttemptOutcome outcome = AttemptOutcome::kNone;
  std::string reason;
  int64_t offset = 0;
  std::string bytes;
  // The attempt has ended and `bytes` reaches the end of its output.
  bool last = false;

  bool operator==(const AttemptView&) const = default;
};

// The agent's record of every attempt that reached it, which alone determines
// whether an attempt has run. A phase only moves forward, and an attempt that
// was refused or abandoned never runs at this agent.
class AttemptLedger {
 public:
  // Keeps finished attempts and tombstones for `retention`, which must exceed
  // the longest time that a message can be in flight.
  explicit AttemptLedger(base::Duration retention);

  // Queues an attempt and returns true. Returns false if it must not be queued
  // because it is known already or was abandoned before it arrived.
  bool Queue(const base::AttemptId& attempt, base::Instant now);

  // Starts a queued attempt. Returns false if the attempt isn't queued.
  bool Start(const base::AttemptId& attempt);

  // Appends to the output of a running attempt.
  void Append(const base::AttemptId& attempt, const std::string& bytes);

  void Finish(const base::AttemptId& attempt,
              AttemptOutcome outcome,
              const std::string& reason,
              base::Instant now);

  // Ends an attempt that had no effect: it was queued, or started but never
  // reached its backend server.
  void MarkNotRun(const base::AttemptId& attempt,
                  const std::string& reason,
                  base::Instant now);

  // Prevents an attempt that hasn't started from ever starting, also if it
  // arrives later. Returns no phase because an attempt that ran and was pruned
  // counts as not run here; use only if the phase isn't needed any more.
  void Abandon(const base::AttemptId& attempt, base::Instant now);

  // Abandons the attempt as above and returns its phase, never kQueued.
  // `submitted` is a reading of this host's clock from before the submission
  // was sent. An attempt that isn't known and was submitted longer ago than
  // the retention may have run and been pruned: its phase is kUnknown.
  AttemptPhase Abandon(const base::AttemptId& attempt,
                       base::Instant submitted,
                       base::Instant now);

  // Returns at most `max_bytes` of the output from `offset` on, and discards
  // the output before `offset`.
  AttemptView Read(const base::AttemptId& attempt,
                   int64_t offset,
                   size_t max_bytes);

  // Returns true if there is output beyond `offset`, or if the attempt has
  // ended or isn't known.
  bool HasUpdate(const base::AttemptId& attempt, int64_t offset) const;

  AttemptPhase PhaseOf(const base::AttemptId& attempt) const;

  // Returns the size of the output that hasn't been read yet. A running attempt
  // with many unread bytes has to be paused.
  size_t UnreadBytes(const base::AttemptId& attempt) const;

  // Discards the output of an ended attempt that won't be read any more.
  void DropOutput(const base::AttemptId& attempt);

  // Removes attempts that ended longer ago than the retention.
  void Prune(base::Instant now);

  size_t size() const { return this->records.size(); }

 private:
  struct Record {
    AttemptPhase phase = AttemptPhase::kQueued;
    AttemptOutcome outcome = AttemptOutcome::kNone;
    std::string reason;
    int64_t first_offset = 0;  // of `output`; earlier bytes were discarded
    std::string output;
    base::Instant ended;
  };

  Record* Find(const base::AttemptId& attempt);
  const Record* Find(const base::AttemptId& attempt) const;

  base::Duration retention;
  std::map<base::AttemptId, Record> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ATTEMPT_LEDGER_H_
