#include "engine_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "generated_text.h"
#include "http_server.h"

namespace carawayvalve::fakes {

using nlohmann::json;

namespace {

// Tokens that a generation prefills before the next one takes its turn.
constexpr int64_t kChunkTokens = 512;
// One stream gets at most this fraction of the decode rate: 1/4.
constexpr int64_t kMinDecodeShares = 4;
// A prefill engine decodes, and a decode engine prefills, at a tenth of the
// rate.
constexpr int64_t kOffRoleDivisor = 10;
// A wait that ends late shortens the next one by at most this much.
constexpr base::Milliseconds kMaxCatchUp(20);
constexpr base::Milliseconds kPeerCheckPeriod(100);

base::Duration DurationOf(int64_t tokens, int64_t tokens_per_second) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(static_cast<double>(tokens) /
                                    static_cast<double>(tokens_per_second)));
}

base::Instant CatchUp(base::Instant due) {
  return std::max(due, base::Now() - kMaxCatchUp);
}

}  // namespace

struct EngineModel::Job {
  GenerationRequest request;
  Rank rank;
  std::vector<std::string> pieces;
  int64_t prefill_left = 0;
  Stage stage = Stage::kWaiting;
  bool cancelled = false;
  std::optional<base::Instant> token_due;
};

struct EngineModel::LoadSample {
  base::Instant at;
  int64_t queued_prefill_tokens = 0;
  int64_t running_requests = 0;
  int64_t prefill_rate = 0;
  int64_t decode_rate = 0;
  std::string role;
  std::vector<std::string> models;
};

EngineModel::EngineModel(EngineSettings settings, std::stop_token stop)
    : settings(std::move(settings)),
      stop(std::move(stop)),
      role(this->settings.role),
      models(this->settings.models),
      cache(static_cast<size_t>(this->settings.cache_pieces)) {
  this->RecordLoad();
}

EngineModel::~EngineModel() = default;

std::shared_ptr<EngineModel::Job> EngineModel::Submit(GenerationRequest request,
                                                      std::string& reason) {
  const std::lock_guard lock(this->mutex);
  if (this->changes_in_progress > 0) {
    reason = "a change is under way";
    return nullptr;
  }
  if (!this->IsLoaded(request.model)) {
    reason = "the model is not loaded";
    return nullptr;
  }
  auto job = std::make_shared<Job>();
  job->rank = {-request.priority, this->arrivals++};
  job->pieces = HashPieces(request.prompt);
  job->request = std::move(request);
  this->LookUpPrefix(*job);
  this->jobs[job->rank] = job;
  this->RecordLoad();
  return job;
}

int64_t EngineModel::Prefill(Job& job) {
  Lock lock(this->mutex);
  this->TakeSlot(lock, job);
  const auto has_turn = [&] {
    return !this->prefill_busy && this->FirstIn(Stage::kPrefill) == &job;
  };
  this->Wait(lock, job, base::Instant::max(), has_turn);
  const int64_t cached_tokens = this->LookUpPrefix(job);
  while (job.prefill_left > 0) {
    this->Wait(lock, job, base::Instant::max(), has_turn);
    this->PrefillChunk(lock, job);
  }
  this->cache.Use(job.pieces);
  job.stage = Stage::kDecode;
  this->RecordLoad();
  this->changed.notify_all();
  return cached_tokens;
}

void EngineModel::TakeSlot(Lock& lock, Job& job) {
  this->Wait(lock, job, base::Instant::max(), [&] {
    const int64_t running =
        this->CountIn(Stage::kPrefill) + this->CountIn(Stage::kDecode);
    return running < this->settings.slots &&
           this->FirstIn(Stage::kWaiting) == &job;
  });
  job.stage = Stage::kPrefill;
  this->RecordLoad();
  this->changed.notify_all();
}

// Sets the number of tokens left to prefill; returns the number of cached
// tokens.
int64_t EngineModel::LookUpPrefix(Job& job) {
  const int64_t tokens =
      CountTokens(job.request.prompt.size() + job.request.text_so_far.size());
  const int64_t cached =
      static_cast<int64_t>(this->cache.CountHeld(job.pieces)) * kPieceTokens;
  job.prefill_left = tokens - cached;
  return cached;
}

void EngineModel::PrefillChunk(Lock& lock, Job& job) {
  const int64_t tokens = std::min(kChunkTokens, job.prefill_left);
  const base::Instant start =
      this->prefill_due ? CatchUp(*this->prefill_due) : base::Now();
  const base::Instant due = start + DurationOf(tokens, this->PrefillRate());
  this->prefill_busy = true;
  try {
    this->Wait(lock, job, due, [] { return false; });
  } catch (const StreamAborted&) {
    this->prefill_busy = false;
    this->prefill_due.reset();
    throw;
  }
  this->prefill_busy = false;
  job.prefill_left -= tokens;
  const bool prefill_continues =
      job.prefill_left > 0 || this->CountIn(Stage::kPrefill) > 1;
  this->prefill_due = prefill_continues ? std::optional(due) : std::nullopt;
  this->RecordLoad();
  this->changed.notify_all();
}

void EngineModel::PaceToken(Job& job) {
  Lock lock(this->mutex);
  // Prefill yields the first token, so it is due at once.
  if (!job.token_due.has_value()) {
    job.token_due = base::Now();
    return;
  }
  const int64_t shares =
      std::max(kMinDecodeShares, this->CountIn(Stage::kDecode));
  const base::Instant due =
      CatchUp(*job.token_due) + DurationOf(shares, this->DecodeRate());
  job.token_due = due;
  this->Wait(lock, job, due, [] { return false; });
}

void EngineModel::Finish(Job& job) {
  const std::lock_guard lock(this->mutex);
  job.stage = Stage::kFinished;
  this->jobs.erase(job.rank);
  this->RecordLoad();
  this->changed.notify_all();
}

void EngineModel::Cancel(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  for (const auto& [rank, job] : this->jobs) {
    job->cancelled = job->cancelled || job->request.id == id;
  }
  this->changed.notify_all();
}

// Waits until `until` or until `ready` returns true.
void EngineModel::Wait(Lock& lock,
                       const Job& job,
                       base::Instant until,
                       const std::function<bool()>& ready) {
  while (!ready() && base::Now() < until) {
    if (job.cancelled || this->stop.stop_requested() ||
        job.request.is_peer_closed()) {
      this->aborted_by_changes += this->changes_in_progress > 0 ? 1 : 0;
      throw StreamAborted();
    }
    this->changed.wait_until(lock, this->stop,
                             std::min(until, base::Now() + kPeerCheckPeriod),
                             [&] { return job.cancelled || ready(); });
  }
}

const EngineModel::Job* EngineModel::FirstIn(Stage stage) const {
  const auto found = std::find_if(
      this->jobs.begin(), this->jobs.end(),
      [stage](const auto& entry) { return entry.second->stage == stage; });
  return found == this->jobs.end() ? nullptr : found->second.get();
}

int64_t EngineModel::CountIn(Stage stage) const {
  return std::count_if(
      this->jobs.begin(), this->jobs.end(),
      [stage](const auto& entry) { return entry.second->stage == stage; });
}

int64_t EngineModel::PrefillRate() const {
  const int64_t rate = this->settings.prefill_tokens_per_second;
  return this->role == "decode" ? std::max<int64_t>(1, rate / kOffRoleDivisor)
                                : rate;
}

int64_t EngineModel::DecodeRate() const {
  const int64_t rate = this->settings.decode_tokens_per_second;
  return this->role == "prefill" ? std::max<int64_t>(1, rate / kOffRoleDivisor)
                                 : rate;
}

void EngineModel::BeginChange() {
  const std::lock_guard lock(this->mutex);
  this->changes_in_progress += 1;
  for (const auto& [rank, job] : this->jobs) {
    job->cancelled = true;
  }
  this->changed.notify_all();
}

void EngineModel::EndChange(const std::string& role, const std::string& model) {
  const std::lock_guard lock(this->mutex);
  this->changes_in_progress -= 1;
  if (!role.empty()) {
    this->role = role;
  }
  if (!model.empty() && !this->IsLoaded(model)) {
    this->models.push_back(model);
  }
  this->RecordLoad();
}

int64_t EngineModel::AbortedByChanges() const {
  const std::lock_guard lock(this->mutex);
  return this->aborted_by_changes;
}

bool EngineModel::IsSetTo(const std::string& role,
                          const std::string& model) const {
  const std::lock_guard lock(this->mutex);
  return (role.empty() || role == this->role) &&
         (model.empty() || this->IsLoaded(model));
}

bool EngineModel::IsLoaded(const std::string& model) const {
  return std::find(this->models.begin(), this->models.end(), model) !=
         this->models.end();
}

// Records the current load and drops samples that are older than any report
// needs.
void EngineModel::RecordLoad() {
  LoadSample sample = {.at = base::Now(),
                       .running_requests = this->CountIn(Stage::kPrefill) +
                                           this->CountIn(Stage::kDecode),
                       .prefill_rate = this->PrefillRate(),
                       .decode_rate = this->DecodeRate(),
                       .role = this->role,
                       .models = this->models};
  for (const auto& [rank, job] : this->jobs) {
    sample.queued_prefill_tokens += job->prefill_left;
  }
  this->loads.push_back(std::move(sample));
  const base::Instant shown_at = base::Now() - this->settings.load_lag;
  while (this->loads.size() > 1 && this->loads[1].at <= shown_at) {
    this->loads.pop_front();
  }
}

json EngineModel::Load() const {
  const std::lock_guard lock(this->mutex);
  const base::Instant shown_at = base::Now() - this->settings.load_lag;
  const auto later = std::find_if(
      this->loads.begin() + 1, this->loads.end(),
      [shown_at](const LoadSample& sample) { return sample.at > shown_at; });
  const LoadSample& sample = *(later - 1);
  return {{"queued_prefill_tokens", sample.queued_prefill_tokens},
          {"running_requests", sample.running_requests},
          {"prefill_tokens_per_second", sample.prefill_rate},
          {"decode_tokens_per_second", sample.decode_rate},
          {"role", sample.role},
          {"models", sample.models},
          {"cache_pieces", this->settings.cache_pieces}};
}

json EngineModel::CacheEvents(int64_t from) const {
  const std::lock_guard lock(this->mutex);
  return this->cache.Events(from);
}

json EngineModel::ExportKv(const std::string& prompt) const {
  std::vector<std::string> pieces = HashPieces(prompt);
  const std::lock_guard lock(this->mutex);
  pieces.resize(this->cache.CountHeld(pieces));
  std::string kv;
  for (const std::string& piece : pieces) {
    kv += piece + "\n";
  }
  return {{"kv", kv}, {"pieces", pieces.size()}};
}

void EngineModel::ImportKv(const std::string& kv) {
  std::istringstream lines(kv);
  std::vector<std::string> pieces;
  std::string piece;
  while (std::getline(lines, piece)) {
    pieces.push_back(piece);
  }
  const std::lock_guard lock(this->mutex);
  this->cache.Use(pieces);
}

}  // namespace carawayvalve::fakes
