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
  kFinished,  // `outcome` says how it went
  kNotRun,    // it has not run and never will at this agent
  kUnknown,   // this run of the agent has no memory of it
};

enum class AttemptOutcome {
  kNone,
  kAnswered,   // the backend server gave a whole answer
  kUnknown,    // the backend server may or may not have run it
  kBrokenOff,  // the backend server broke off in mid-answer
  kCancelled,
};

// What an agent tells of one attempt, from an offset of its output on.
struct AttemptView {
  AttemptPhase phase = AttemptPhase::kUnknown;
  AttemptOutcome outcome = AttemptOutcome::kNone;
  std::string reason;
  int64_t offset = 0;
  std::string bytes;
  // Every byte of the output lies before the end of `bytes`.
  bool last = false;

  bool operator==(const AttemptView&) const = default;
};

// The agent's record of every attempt that reached it: the one place that
// knows whether an attempt has run. A phase only ever moves forward, and an
// attempt that has been refused or abandoned never runs here.
class AttemptLedger {
 public:
  // Finished attempts and tombstones are kept for `memory`, which must exceed
  // the longest time a message can be under way.
  explicit AttemptLedger(base::Duration retention);

  // Returns true if the attempt is new and now queued. False means that it
  // must not be queued: it is known already, or was abandoned before it came.
  bool Queue(const base::AttemptId& attempt, base::Instant now);

  // Returns true if the attempt was queued and now runs.
  bool Start(const base::AttemptId& attempt);

  // Adds to the output of a running attempt.
  void Append(const base::AttemptId& attempt, const std::string& bytes);

  void Finish(const base::AttemptId& attempt,
              AttemptOutcome outcome,
              const std::string& reason,
              base::Instant now);

  // Ends an attempt that certainly had no effect: a queued one, or one that
  // never reached its backend server.
  void MarkNotRun(const base::AttemptId& attempt,
                  const std::string& reason,
                  base::Instant now);

  // Keeps an attempt that hasn't started from ever starting, also if it
  // arrives later. For an attempt that nobody asks about any more: what ran and
  // was forgotten counts as not run here, so nothing is told of it.
  void Abandon(const base::AttemptId& attempt, base::Instant now);

  // Like the other one, and returns the phase afterwards; never kQueued.
  // `submitted` is a reading of this host's clock from before the submission
  // was sent. An attempt that isn't known and was submitted longer than the
  // memory ago may have run and been forgotten: its phase is kUnknown.
  AttemptPhase Abandon(const base::AttemptId& attempt,
                       base::Instant submitted,
                       base::Instant now);

  // Returns the output from `offset` on, `most_bytes` at the most, and
  // forgets what lies before `offset`.
  AttemptView Read(const base::AttemptId& attempt,
                   int64_t offset,
                   size_t max_bytes);

  // Whether a read from `offset` would tell anything new.
  bool HasUpdate(const base::AttemptId& attempt, int64_t offset) const;

  AttemptPhase PhaseOf(const base::AttemptId& attempt) const;

  // Bytes of output that nobody has read yet; a running attempt with many is
  // to be held back.
  size_t UnreadBytes(const base::AttemptId& attempt) const;

  // Forgets the output of an attempt that has ended and that nobody will read.
  void DropOutput(const base::AttemptId& attempt);

  // Forgets what ended longer than the memory ago.
  void Prune(base::Instant now);

  size_t size() const { return this->records.size(); }

 private:
  struct Record {
    AttemptPhase phase = AttemptPhase::kQueued;
    AttemptOutcome outcome = AttemptOutcome::kNone;
    std::string reason;
    int64_t first_offset = 0;  // of `output`; earlier bytes were read
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
