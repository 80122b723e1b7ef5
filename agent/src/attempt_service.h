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
#include "carawayvalve/core/backend_rate_limits.h"
#include "carawayvalve/core/fair_queue.h"
#include "carawayvalve/core/usage_ledger.h"
#include "carawayvalve/systems/engine.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::agent {

// A call to a plain HTTP service.
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

// An attempt as submitted by an entry process.
struct Job {
  base::AttemptId attempt;
  base::RequestId request;
  base::BootId entry_boot;
  base::ClientAccountId client_account;
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

// New output or a new state of an attempt, for its reader.
struct AttemptUpdate {
  base::AttemptId attempt;
  core::AttemptView view;
  // Identifies the crash that broke the attempt off, empty if none did.
  std::string death_id = {};
};

// How far a reader has read an attempt's output, and how many bytes it accepts.
struct ReadPosition {
  base::AttemptId attempt;
  int64_t offset = 0;
  size_t max_bytes = 0;
};

// An attempt that was running when the backend server crashed.
struct AttemptCrash {
  base::AttemptId attempt;
  std::string content_digest;
  // Identifies the crash; shared by all attempts that it broke off.
  std::string death_id;
  base::Instant at;

  bool operator==(const AttemptCrash&) const = default;
};

// Holds all attempts of one agent: queues those that entry processes submit,
// hands them to the runners, and keeps their output until it is read. Safe to
// call from several threads.
class AttemptService {
 public:
  struct Options {
    int32_t slots = 1;
    int32_t max_queued_per_account = 1;
    base::Duration retention{};
    // Called after each crash, with the service's lock held.
    std::function<void()> on_crash;
    // Called with the usage of an attempt when the attempt ends, with the
    // service's lock held.
    std::function<void(const base::ClientAccountId&, const core::UsageFigures&)>
        on_usage;
    // Called when the backend server has named or withdrawn a limit of its
    // requests, with the service's lock held.
    std::function<void()> on_rate_change;
  };

  explicit AttemptService(const Options& options);

  // Called for entry processes.

  // Queues the attempt. Accepts an attempt that is submitted again without
  // running it twice.
  SubmitResult Submit(const Job& job);
  // Waits up to `wait` for updates of the entry process's attempts. An attempt
  // whose end was returned and that is missing from the next call's positions
  // counts as read.
  std::vector<AttemptUpdate> Read(const base::BootId& entry_boot,
                                  const std::vector<ReadPosition>& positions,
                                  base::Milliseconds wait);
  // Prevents an attempt that hasn't started from ever starting, and returns its
  // state without output. `submitted` is a reading of this agent's clock from
  // before the attempt was sent.
  core::AttemptView Abandon(const base::AttemptId& attempt,
                            base::Instant submitted);
  // Removes the attempt from the queue, or tells its runner to stop. Its output
  // isn't delivered any more.
  void Cancel(const base::AttemptId& attempt);

  // Called by runners.

  // Waits for an attempt that may run and starts it. Returns nothing once the
  // service is closed.
  std::optional<Job> NextJob();
  // Appends output and waits while too many bytes are unread. Returns false if
  // the attempt was cancelled, its deadline passed or the service was closed.
  bool Append(const base::AttemptId& attempt, const std::string& bytes);
  // The same as Append, for one token of an engine, which is added to the
  // attempt's usage.
  bool AppendToken(const base::AttemptId& attempt, const std::string& bytes);
  // Appends the end of a complete answer. Its usage is counted before the end
  // can be read.
  bool AppendEnd(const base::AttemptId& attempt, const core::AnswerEnd& end);
  bool Cancelled(const base::AttemptId& attempt);
  void Finish(const base::AttemptId& attempt,
              core::AttemptOutcome outcome,
              const std::string& reason);
  // Ends an attempt that never reached the backend server. An attempt that has
  // output or was cancelled is finished instead, as it may have run.
  void MarkNotRun(const base::AttemptId& attempt, const std::string& reason);

  // Records that the backend server crashed while it ran the attempt. Attempts
  // that break off shortly after one another are attributed to the same crash.
  // Attempts with the same content become suspects, which run one at a time. An
  // attempt that was started after the last crash, and before the backend
  // server was reached again, isn't recorded: it met a dead process.
  void NoteCrash(const base::AttemptId& attempt);
  // Records that the backend server has answered a call that was sent at
  // `asked`.
  void NoteAlive(base::Instant asked);
  // Records what an answer to a request that was sent at `asked` says about the
  // rate of requests. Attempts are then started at that rate, and refused if
  // they couldn't start before their deadline. An answer withdraws a limit only
  // if its request was sent after the limit was named last.
  void NoteRate(const core::RateStatement& statement, base::Instant asked);
  // Returns the requests a second that may be started; nothing for any number.
  std::optional<double> rate_limit() const;
  std::vector<AttemptCrash> RecentCrashes() const;
  void SetAccountLimits(const std::map<base::ClientAccountId, int32_t>& weights,
                        int32_t max_queued_per_account);

  // Refuses every further submission as not run.
  void Leave();
  // Waits until all accepted attempts have ended and been read. Returns whether
  // they have.
  bool WaitUntilIdle(base::Milliseconds wait);
  // Wakes all waiting runners and readers and makes them return.
  void Close();
  // While paused, no queued attempt is started.
  void SetPaused(bool paused);
  // Drops queued attempts past their deadline, and removes attempts that ended
  // longer ago than the retention. To be called regularly.
  void Tick(base::Instant now);

  // Numbers of attempts in this run of the agent, for the metrics.
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
  // Returns the attempts that haven't ended, with their phases, for the state
  // dump.
  std::vector<std::pair<Job, core::AttemptPhase>> Snapshot() const;

 private:
  struct AttemptRecord {
    Job job;
    // Suspected poison request, which runs only while no other suspect does.
    bool suspect = false;
    bool cancelled = false;
    base::Instant started;
    // Usage to be counted when the attempt ends.
    core::UsageFigures usage = {};
  };

  // The attempts of one entry process whose end hasn't been read for certain.
  struct Reader {
    // Attempts whose end hasn't been sent yet.
    std::set<base::AttemptId> unread;
    // Attempts whose end was sent, but may have been lost in transit.
    std::set<base::AttemptId> unconfirmed;
  };

  // These require the lock to be held.
  SubmitResult Accept(const Job& job);
  // Returns the time until the attempt could be started if that is after its
  // deadline.
  std::optional<base::Milliseconds> WaitBeyondDeadline(const Job& job) const;
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
  bool MetDeadProcess(const AttemptRecord& record) const;
  std::string DeathIdOf(const base::AttemptId& attempt) const;
  void MarkCancelled(const base::AttemptId& attempt);
  bool Idle() const;
  bool SuspectRunning() const;
  bool IsPoisonSuspect(const std::string& content_digest,
                       base::Instant now) const;
  bool AppendLocked(std::unique_lock<std::mutex>& lock,
                    const base::AttemptId& attempt,
                    const std::string& bytes);
  void CountUsage(AttemptRecord& record);
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
  // The newest call that the backend server has answered was sent then.
  base::Instant known_alive;
  // The backend server's limit of requests a second, and when it was named
  // last.
  std::optional<double> requests_per_second;
  base::Instant limit_named;
  core::RequestPacer pacer;
  Totals current_totals;
  bool leaving = false;
  bool paused = false;
  bool closed = false;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_ATTEMPT_SERVICE_H_
