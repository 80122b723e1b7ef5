#ifndef CARAWAYVALVE_AGENT_SRC_ATTEMPT_SERVICE_H_
#define CARAWAYVALVE_AGENT_SRC_ATTEMPT_SERVICE_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/answer_stream.h"
#include "carawayvalve/core/attempt_ledger.h"
#include "carawayvalve/core/fair_queue.h"
#include "carawayvalve/core/usage_ledger.h"
#include "carawayvalve/systems/engine.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::agent {

// A call to a plain service.
struct PlainJob {
  std::string method;
  std::string target;
  std::vector<systems::HttpHeader> headers;
  std::string body;
};

// A call to a model engine.
struct ModelJob {
  systems::Generation generation;
};

// An attempt, as an entry process submits it.
struct Job {
  base::AttemptId attempt;
  base::RequestId request;
  base::BootId entry_boot;
  base::ClientAccountId client_account;
  bool idempotent = false;
  base::Instant deadline;
  std::string content_digest;
  int32_t known_deaths = 0;
  int64_t cost_tokens = 1;
  std::variant<PlainJob, ModelJob> call;
};

struct SubmitResult {
  bool accepted = false;
  std::string reason;
  base::Milliseconds retry_after{0};
};

// An attempt with what a reader of it learns.
struct AttemptUpdate {
  base::AttemptId attempt;
  core::AttemptView view;
  // Of the death that broke it off; else empty.
  std::string death_id = {};
};

// Where a reader stands with an attempt.
struct ReadPosition {
  base::AttemptId attempt;
  int64_t offset = 0;
  size_t max_bytes = 0;
};

// A content that was running when the backend server died.
struct AttemptCrash {
  base::AttemptId attempt;
  std::string content_digest;
  // Names the death; the contents that it hit share it.
  std::string death_id;
  base::Instant at;

  bool operator==(const AttemptCrash&) const = default;
};

// All attempts of one agent: takes them from entry processes, hands them to
// the runners in turn, and keeps their output until it is read. Safe to call
// from several threads.
class AttemptService {
 public:
  struct Options {
    int32_t slots = 1;
    int32_t max_queued_per_account = 1;
    base::Duration retention{};
    // Called with the service's lock held.
    std::function<void()> on_crash;
    // The same; gets what an attempt that ends adds to its account's usage.
    std::function<void(const base::ClientAccountId&, const core::UsageFigures&)>
        on_usage;
  };

  explicit AttemptService(const Options& options);

  // Towards entry processes.
  SubmitResult Submit(const Job& job);
  // Waits up to `wait` for news of the attempts of `entry`.
  std::vector<AttemptUpdate> Read(const base::BootId& entry_boot,
                                  const std::vector<ReadPosition>& positions,
                                  base::Milliseconds wait);
  // `submitted` is this agent's clock as it stood when the attempt was sent.
  core::AttemptView Abandon(const base::AttemptId& attempt,
                            base::Instant submitted);
  void Cancel(const base::AttemptId& attempt);

  // Towards runners. Returns nothing once the service is closed.
  std::optional<Job> NextJob();
  // Waits while the output has too many unread bytes. Returns false when the
  // attempt was cancelled meanwhile, or its deadline passed.
  bool Append(const base::AttemptId& attempt, const std::string& bytes);
  // The same for a token that an engine produced.
  bool AppendToken(const base::AttemptId& attempt, const std::string& bytes);
  // Appends the end of a whole answer. Its usage is counted before anyone can
  // read it.
  bool AppendEnd(const base::AttemptId& attempt, const core::AnswerEnd& end);
  bool Cancelled(const base::AttemptId& attempt);
  void Finish(const base::AttemptId& attempt,
              core::AttemptOutcome outcome,
              const std::string& reason);
  // Of an attempt that never reached the backend server. One that has given
  // output, or was cancelled while it ran, is finished instead.
  void MarkNotRun(const base::AttemptId& attempt, const std::string& reason);

  // Notes that the backend server died while it ran the attempt. What breaks
  // off shortly after another attempt is put down to the same death.
  void NoteCrash(const base::AttemptId& attempt);
  std::vector<AttemptCrash> RecentCrashes() const;
  void SetAccountLimits(const std::map<base::ClientAccountId, int32_t>& weights,
                        int32_t max_queued_per_account);

  // From here on every submission is refused as not run.
  void Leave();
  // Waits until all that was accepted has ended and been read.
  bool WaitUntilIdle(base::Milliseconds wait);
  // Ends the runners' waits.
  void Close();
  // While paused, queued attempts wait and none starts.
  void SetPaused(bool paused);
  // Drops what is past its deadline and forgets what ended long ago.
  void Tick(base::Instant now);

  // What this run of the agent has done, for the metrics.
  struct Totals {
    int64_t accepted = 0;
    int64_t refused = 0;
    int64_t answered = 0;
    int64_t broken_off = 0;
    int64_t cancelled = 0;
    int64_t not_run = 0;
  };
  Totals totals() const;

  int64_t queued() const;
  int64_t running() const;
  // Attempts that haven't ended, with their phases, for the state dump.
  std::vector<std::pair<Job, core::AttemptPhase>> Snapshot() const;

 private:
  struct AttemptRecord {
    Job job;
    // Runs while no other suspect does.
    bool suspect = false;
    bool cancelled = false;
    // What is to be counted when the attempt ends.
    core::UsageFigures usage = {};
  };

  // What one entry process has yet to learn.
  struct Reader {
    // Attempts whose end it hasn't been told.
    std::set<base::AttemptId> unread;
    // Attempts whose end was told, but perhaps not heard.
    std::set<base::AttemptId> unconfirmed;
  };

  // These expect the lock to be held.
  SubmitResult Accept(const Job& job);
  std::vector<AttemptUpdate> CollectUpdates(
      const base::BootId& entry_boot,
      const std::map<base::AttemptId, ReadPosition>& positions);
  std::vector<ReadPosition> PositionsWithUpdates(
      const Reader& reader,
      const std::map<base::AttemptId, ReadPosition>& positions) const;
  AttemptUpdate ReadAttempt(Reader& reader,
                            const ReadPosition& position,
                            size_t max_bytes);
  void DropConfirmed(Reader& reader,
                     const std::map<base::AttemptId, ReadPosition>& positions);
  std::string DeathIdOf(const base::AttemptId& attempt) const;
  void MarkCancelled(const base::AttemptId& attempt);
  bool Idle() const;
  bool SuspectRunning() const;
  bool IsPoisonSuspect(const std::string& content_digest,
                       base::Instant now) const;
  bool AppendLocked(std::unique_lock<std::mutex>& lock,
                    const base::AttemptId& attempt,
                    const std::string& bytes);
  void CountUsage(AttemptRecord& entry);
  void FinishLocked(const base::AttemptId& attempt,
                    core::AttemptOutcome outcome,
                    const std::string& reason);
  void DropExpired(base::Instant now);
  void Release(const base::AttemptId& attempt);

  mutable std::mutex mutex;
  std::condition_variable update_available;
  std::condition_variable work_available;
  std::condition_variable space_available;
  Options options;
  core::AttemptLedger ledger;
  std::map<base::AttemptId, AttemptRecord> records;
  std::map<base::BootId, Reader> readers;
  core::FairQueue queue;
  std::set<base::AttemptId> in_flight;
  std::vector<AttemptCrash> crashes;
  Totals sums;
  bool leaving = false;
  bool paused = false;
  bool closed = false;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_ATTEMPT_SERVICE_H_
