#include "attempt_service.h"

#include <algorithm>

namespace carawayvalve::agent {

namespace {

// A runner waits while this many bytes of its answer are unread.
constexpr size_t kMaxUnreadBytes = 1024 * 1024;
constexpr base::Milliseconds kRetryAfterBusy{1000};
// Attempts that break off within this time of each other are attributed to the
// same crash.
constexpr base::Milliseconds kSameCrashWindow{500};
constexpr std::chrono::minutes kCrashRetention{10};
constexpr size_t kMaxCrashes = 256;

bool HasEnded(core::AttemptPhase phase) {
  return phase == core::AttemptPhase::kFinished ||
         phase == core::AttemptPhase::kNotRun;
}

core::QueuedAttempt ToQueued(const Job& job, bool suspect) {
  core::QueuedAttempt queued;
  queued.attempt = job.attempt;
  queued.client_account = job.client_account;
  queued.cost_tokens = job.cost_tokens;
  queued.deadline = job.deadline;
  queued.content_digest = job.content_digest;
  queued.suspect = suspect;
  return queued;
}

std::string ReasonNotQueued(core::PushResult result) {
  switch (result) {
    case core::PushResult::kAccountFull:
      return "the client account has too many requests waiting here";
    case core::PushResult::kDeadlinePassed:
      return "the deadline has passed";
    case core::PushResult::kQueued:
    case core::PushResult::kAlreadyQueued:
      return "";
  }
  return "";
}

}  // namespace

AttemptService::AttemptService(const Options& options)
    : options(options),
      ledger(options.retention),
      queue(options.max_queued_per_account) {}

SubmitResult AttemptService::Submit(const Job& job) {
  const std::lock_guard lock(this->mutex);
  SubmitResult result = this->Accept(job);
  (result.accepted ? this->current_totals.accepted
                   : this->current_totals.refused) += 1;
  return result;
}

SubmitResult AttemptService::Accept(const Job& job) {
  if (this->leaving) {
    return {false, "the backend server is leaving", kRetryAfterBusy};
  }
  if (const auto wait = this->WaitBeyondDeadline(job)) {
    return {false, "the backend server takes too few requests a second", *wait};
  }
  if (!this->ledger.Queue(job.attempt, base::Now())) {
    // A submission that is delivered twice doesn't run the attempt again.
    const bool refused =
        this->ledger.PhaseOf(job.attempt) == core::AttemptPhase::kNotRun;
    return {!refused, refused ? "the attempt was abandoned" : "", {}};
  }
  const bool suspect = job.known_deaths > 0 ||
                       this->IsPoisonSuspect(job.content_digest, base::Now());
  const std::string reason =
      ReasonNotQueued(this->queue.Push(ToQueued(job, suspect), base::Now()));
  if (!reason.empty()) {
    this->ledger.MarkNotRun(job.attempt, reason, base::Now());
    return {false, reason, kRetryAfterBusy};
  }
  this->records[job.attempt] = AttemptRecord{job, suspect};
  this->readers[job.entry_boot].unread.insert(job.attempt);
  this->work_available.notify_one();
  return {true, "", {}};
}

std::optional<base::Milliseconds> AttemptService::WaitBeyondDeadline(
    const Job& job) const {
  const base::Instant now = base::Now();
  const base::Instant start =
      this->pacer.SendTimeBehind(static_cast<int64_t>(this->queue.size()), now);
  if (!this->requests_per_second.has_value() || start < job.deadline ||
      this->records.contains(job.attempt)) {
    return std::nullopt;
  }
  return std::chrono::ceil<base::Milliseconds>(start - now);
}

void AttemptService::NoteRate(const core::RateStatement& statement,
                              base::Instant asked) {
  const std::lock_guard lock(this->mutex);
  const std::optional<double> rate = core::RateToKeep(statement);
  if (!rate.has_value() && asked < this->limit_named) {
    return;
  }
  const base::Instant now = base::Now();
  if (rate.has_value()) {
    this->limit_named = now;
  }
  if (rate == this->requests_per_second) {
    return;
  }
  this->requests_per_second = rate;
  this->pacer.SetRate(rate, now);
  this->work_available.notify_all();
  if (this->options.on_rate_change) {
    this->options.on_rate_change();
  }
}

std::optional<double> AttemptService::rate_limit() const {
  const std::lock_guard lock(this->mutex);
  return this->requests_per_second;
}

core::AttemptView AttemptService::Abandon(const base::AttemptId& attempt,
                                          base::Instant submitted) {
  const std::lock_guard lock(this->mutex);
  const core::AttemptPhase phase =
      this->ledger.Abandon(attempt, submitted, base::Now());
  if (phase == core::AttemptPhase::kUnknown) {
    return {};
  }
  this->queue.Remove(attempt);
  // Reads from offset 0 to discard no output: the reader's offset isn't known
  // here.
  core::AttemptView view = this->ledger.Read(attempt, 0, 0);
  view.last = false;
  return view;
}

void AttemptService::Cancel(const base::AttemptId& attempt) {
  const std::lock_guard lock(this->mutex);
  this->ledger.Abandon(attempt, base::Now());
  this->queue.Remove(attempt);
  this->MarkCancelled(attempt);
  this->space_available.notify_all();
}

// Stops the delivery of the attempt's output. If the attempt is in flight, its
// runner finishes it.
void AttemptService::MarkCancelled(const base::AttemptId& attempt) {
  const auto found = this->records.find(attempt);
  if (found == this->records.end()) {
    return;
  }
  Reader& reader = this->readers[found->second.job.entry_boot];
  reader.unread.erase(attempt);
  reader.unconfirmed.erase(attempt);
  found->second.cancelled = true;
  if (!this->in_flight.contains(attempt)) {
    this->records.erase(found);
    this->ledger.DropOutput(attempt);
  }
}

std::optional<Job> AttemptService::NextJob() {
  std::unique_lock lock(this->mutex);
  for (;;) {
    if (this->closed) {
      return std::nullopt;
    }
    this->DropExpired(base::Now());
    std::optional<core::QueuedAttempt> next;
    const bool may_send = this->pacer.MaySend(base::Now());
    if (!this->paused && may_send) {
      next = this->queue.Pop(base::Now(), this->SuspectRunning());
    }
    if (next && this->ledger.Start(next->attempt)) {
      this->pacer.NoteSent(base::Now());
      this->in_flight.insert(next->attempt);
      AttemptRecord& record = this->records.at(next->attempt);
      record.suspect = next->suspect;
      record.started = base::Now();
      return record.job;
    }
    if (!next && !may_send && !this->queue.empty()) {
      this->work_available.wait_until(lock, this->pacer.next_send());
    } else if (!next) {
      this->work_available.wait(lock);
    }
  }
}

void AttemptService::SetPaused(bool paused) {
  const std::lock_guard lock(this->mutex);
  this->paused = paused;
  this->work_available.notify_all();
}

bool AttemptService::SuspectRunning() const {
  return std::any_of(this->in_flight.begin(), this->in_flight.end(),
                     [&](const base::AttemptId& attempt) {
                       return this->records.at(attempt).suspect;
                     });
}

void AttemptService::DropExpired(base::Instant now) {
  for (const core::QueuedAttempt& expired : this->queue.DropExpired(now)) {
    this->ledger.MarkNotRun(expired.attempt, "the deadline passed in the queue",
                            now);
    this->update_available.notify_all();
  }
}

bool AttemptService::Append(const base::AttemptId& attempt,
                            const std::string& bytes) {
  std::unique_lock lock(this->mutex);
  return this->AppendLocked(lock, attempt, bytes);
}

bool AttemptService::AppendToken(const base::AttemptId& attempt,
                                 const std::string& bytes) {
  std::unique_lock lock(this->mutex);
  AttemptRecord& record = this->records.at(attempt);
  // Tokens after a cancellation aren't delivered and so aren't billed.
  record.usage.output_tokens += record.cancelled ? 0 : 1;
  return this->AppendLocked(lock, attempt, bytes);
}

bool AttemptService::AppendEnd(const base::AttemptId& attempt,
                               const core::AnswerEnd& end) {
  std::unique_lock lock(this->mutex);
  AttemptRecord& record = this->records.at(attempt);
  if (!record.cancelled) {
    record.usage.requests = 1;
    record.usage.prompt_tokens = end.prompt_tokens;
  }
  this->CountUsage(record);
  return this->AppendLocked(lock, attempt, core::EncodeRecord(end));
}

void AttemptService::CountUsage(AttemptRecord& record) {
  if (this->options.on_usage && record.usage != core::UsageFigures()) {
    this->options.on_usage(record.job.client_account, record.usage);
  }
  record.usage = {};
}

bool AttemptService::AppendLocked(std::unique_lock<std::mutex>& lock,
                                  const base::AttemptId& attempt,
                                  const std::string& bytes) {
  this->ledger.Append(attempt, bytes);
  this->update_available.notify_all();
  const AttemptRecord& record = this->records.at(attempt);
  this->known_alive = std::max(this->known_alive, record.started);
  const bool in_time =
      this->space_available.wait_until(lock, record.job.deadline, [&] {
        return record.cancelled || this->closed ||
               this->ledger.UnreadBytes(attempt) < kMaxUnreadBytes;
      });
  return in_time && !record.cancelled && !this->closed;
}

bool AttemptService::Cancelled(const base::AttemptId& attempt) {
  const std::lock_guard lock(this->mutex);
  return this->records.at(attempt).cancelled || this->closed;
}

void AttemptService::Finish(const base::AttemptId& attempt,
                            core::AttemptOutcome outcome,
                            const std::string& reason) {
  const std::lock_guard lock(this->mutex);
  this->FinishLocked(attempt, outcome, reason);
}

void AttemptService::FinishLocked(const base::AttemptId& attempt,
                                  core::AttemptOutcome outcome,
                                  const std::string& reason) {
  this->CountUsage(this->records.at(attempt));
  this->ledger.Finish(attempt, outcome, reason, base::Now());
  if (outcome == core::AttemptOutcome::kAnswered) {
    this->current_totals.answered += 1;
  } else if (outcome == core::AttemptOutcome::kCancelled) {
    this->current_totals.cancelled += 1;
  } else {
    this->current_totals.broken_off += 1;
  }
  this->Release(attempt);
}

void AttemptService::MarkNotRun(const base::AttemptId& attempt,
                                const std::string& reason) {
  const std::lock_guard lock(this->mutex);
  if (this->records.at(attempt).cancelled) {
    // The call that didn't reach the backend server may be the cancellation, so
    // the attempt may have run.
    this->FinishLocked(attempt, core::AttemptOutcome::kCancelled, reason);
    return;
  }
  if (this->ledger.HasUpdate(attempt, 0)) {
    this->FinishLocked(attempt, core::AttemptOutcome::kBrokenOff, reason);
    return;
  }
  this->ledger.MarkNotRun(attempt, reason, base::Now());
  this->current_totals.not_run += 1;
  this->Release(attempt);
}

void AttemptService::Release(const base::AttemptId& attempt) {
  this->in_flight.erase(attempt);
  if (this->records.at(attempt).cancelled) {
    this->records.erase(attempt);
    this->ledger.DropOutput(attempt);
  }
  this->update_available.notify_all();
  this->work_available.notify_one();
}

void AttemptService::Leave() {
  const std::lock_guard lock(this->mutex);
  this->leaving = true;
}

bool AttemptService::MetDeadProcess(const AttemptRecord& record) const {
  if (this->crashes.empty()) {
    return false;
  }
  const base::Instant crashed = this->crashes.back().at;
  return record.started > crashed && this->known_alive <= crashed;
}

void AttemptService::NoteAlive(base::Instant asked) {
  const std::lock_guard lock(this->mutex);
  this->known_alive = std::max(this->known_alive, asked);
}

void AttemptService::NoteCrash(const base::AttemptId& attempt) {
  const std::lock_guard lock(this->mutex);
  const base::Instant now = base::Now();
  const bool same_crash = !this->crashes.empty() &&
                          now - this->crashes.back().at < kSameCrashWindow;
  if (this->MetDeadProcess(this->records.at(attempt))) {
    return;
  }
  const Job& job = this->records.at(attempt).job;
  this->crashes.push_back(
      {attempt, job.content_digest,
       same_crash ? this->crashes.back().death_id : base::RandomName(), now});
  this->queue.MarkSuspect(job.content_digest);
  for (const base::AttemptId& other : this->in_flight) {
    AttemptRecord& record = this->records.at(other);
    record.suspect =
        record.suspect || record.job.content_digest == job.content_digest;
  }
  if (this->crashes.size() > kMaxCrashes) {
    this->crashes.erase(this->crashes.begin());
  }
  if (this->options.on_crash) {
    this->options.on_crash();
  }
}

bool AttemptService::IsPoisonSuspect(const std::string& content_digest,
                                     base::Instant now) const {
  return std::any_of(this->crashes.begin(), this->crashes.end(),
                     [&](const AttemptCrash& crash) {
                       return crash.content_digest == content_digest &&
                              now - crash.at < kCrashRetention;
                     });
}

std::vector<AttemptCrash> AttemptService::RecentCrashes() const {
  const std::lock_guard lock(this->mutex);
  std::vector<AttemptCrash> recent;
  for (const AttemptCrash& crash : this->crashes) {
    if (base::Now() - crash.at < kCrashRetention) {
      recent.push_back(crash);
    }
  }
  return recent;
}

void AttemptService::SetAccountLimits(
    const std::map<base::ClientAccountId, int32_t>& weights,
    int32_t max_queued_per_account) {
  const std::lock_guard lock(this->mutex);
  this->queue.SetWeights(weights);
  this->queue.SetMaxQueuedPerAccount(max_queued_per_account);
}

bool AttemptService::WaitUntilIdle(base::Milliseconds wait) {
  const base::Instant until = base::Now() + wait;
  std::unique_lock lock(this->mutex);
  while (!this->Idle() && base::Now() < until) {
    this->update_available.wait_for(lock, base::Milliseconds(20));
  }
  return this->Idle();
}

bool AttemptService::Idle() const {
  return this->queue.empty() && this->in_flight.empty() &&
         std::all_of(
             this->readers.begin(), this->readers.end(),
             [](const auto& reader) { return reader.second.unread.empty(); });
}

void AttemptService::Close() {
  const std::lock_guard lock(this->mutex);
  this->closed = true;
  this->update_available.notify_all();
  this->work_available.notify_all();
  this->space_available.notify_all();
}

void AttemptService::Tick(base::Instant now) {
  const std::lock_guard lock(this->mutex);
  this->DropExpired(now);
  this->ledger.Prune(now);
  // Removes attempts whose reader never read their end, such as a crashed entry
  // process.
  std::erase_if(this->records, [&](const auto& record) {
    return this->ledger.PhaseOf(record.first) == core::AttemptPhase::kUnknown;
  });
  for (auto& [entry_boot, reader] : this->readers) {
    const auto is_pruned = [&](const base::AttemptId& attempt) {
      return !this->records.contains(attempt);
    };
    std::erase_if(reader.unread, is_pruned);
    std::erase_if(reader.unconfirmed, is_pruned);
  }
  std::erase_if(this->readers, [](const auto& reader) {
    return reader.second.unread.empty() && reader.second.unconfirmed.empty();
  });
}

AttemptService::Totals AttemptService::totals() const {
  const std::lock_guard lock(this->mutex);
  return this->current_totals;
}

int64_t AttemptService::queued() const {
  const std::lock_guard lock(this->mutex);
  return static_cast<int64_t>(this->queue.size());
}

int64_t AttemptService::running() const {
  const std::lock_guard lock(this->mutex);
  return static_cast<int64_t>(this->in_flight.size());
}

std::vector<std::pair<Job, core::AttemptPhase>> AttemptService::Snapshot()
    const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::pair<Job, core::AttemptPhase>> snapshot;
  for (const auto& [attempt, record] : this->records) {
    const core::AttemptPhase phase = this->ledger.PhaseOf(attempt);
    if (!HasEnded(phase)) {
      snapshot.emplace_back(record.job, phase);
    }
  }
  return snapshot;
}

}  // namespace carawayvalve::agent
