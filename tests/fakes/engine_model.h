#ifndef CARAWAYVALVE_TESTS_FAKES_ENGINE_MODEL_H_
#define CARAWAYVALVE_TESTS_FAKES_ENGINE_MODEL_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stop_token>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"
#include "prefix_cache.h"

namespace carawayvalve::fakes {

// Settings of the simulated engine.
struct EngineSettings {
  std::vector<std::string> models;
  std::string role;  // mixed, prefill or decode
  int64_t prefill_tokens_per_second = 0;
  int64_t decode_tokens_per_second = 0;
  // Generations that run at a time.
  int64_t slots = 0;
  int64_t cache_pieces = 0;
  // Age of the reported load.
  base::Milliseconds load_lag = base::Milliseconds(0);
};

struct GenerationRequest {
  std::string id;
  std::string model;
  std::string prompt;
  std::string text_so_far;
  int64_t priority = 0;
  // Returns whether the caller has closed its connection.
  std::function<bool()> is_peer_closed;
};

// Simulates an engine's timing: generations wait for a slot, take turns at
// prefill and share the decode rate. Thread-safe; each generation waits in its
// own thread.
class EngineModel {
 public:
  EngineModel(EngineSettings settings, std::stop_token stop);
  ~EngineModel();

  // A generation that the engine has accepted.
  struct Job;
  // Accepts a generation. Returns null and sets `reason` when the engine
  // refuses it.
  std::shared_ptr<Job> Submit(GenerationRequest request, std::string& reason);
  // Waits for a slot and for the prefill; returns the number of cached tokens.
  // Prefill and PaceToken throw StreamAborted when the job is cancelled, its
  // caller has closed the connection or the stand-in is stopping.
  int64_t Prefill(Job& job);
  // Waits until the job's next token is due.
  void PaceToken(Job& job);
  // Removes the job from the engine.
  void Finish(Job& job);
  void Cancel(const std::string& id);

  // Cancels all running and waiting generations. New ones are refused until
  // EndChange.
  void BeginChange();
  // Applies a new role and loads a model; empty strings change nothing.
  void EndChange(const std::string& role, const std::string& model);
  // Returns how many generations were aborted by changes.
  int64_t AbortedByChanges() const;
  // Returns whether the engine has this role and has loaded this model. An
  // empty string matches any.
  bool IsSetTo(const std::string& role, const std::string& model) const;

  // The answers to /load, /cache-events and /kv.
  nlohmann::json Load() const;
  nlohmann::json CacheEvents(int64_t from) const;
  nlohmann::json ExportKv(const std::string& prompt) const;
  void ImportKv(const std::string& kv);

 private:
  enum class Stage { kWaiting, kPrefill, kDecode, kFinished };
  // Negated priority and arrival number: higher priorities come first, then
  // earlier arrivals.
  using Rank = std::pair<int64_t, int64_t>;
  using Lock = std::unique_lock<std::mutex>;
  struct LoadSample;

  bool IsLoaded(const std::string& model) const;
  const Job* FirstIn(Stage stage) const;
  int64_t CountIn(Stage stage) const;
  int64_t PrefillRate() const;
  int64_t DecodeRate() const;
  void TakeSlot(Lock& lock, Job& job);
  int64_t LookUpPrefix(Job& job);
  void PrefillChunk(Lock& lock, Job& job);
  void Wait(Lock& lock,
            const Job& job,
            base::Instant until,
            const std::function<bool()>& ready);
  void RecordLoad();

  const EngineSettings settings;
  const std::stop_token stop;
  mutable std::mutex mutex;
  std::condition_variable_any changed;
  std::string role;
  std::vector<std::string> models;
  int64_t changes_in_progress = 0;
  int64_t aborted_by_changes = 0;
  std::map<Rank, std::shared_ptr<Job>> jobs;
  int64_t arrivals = 0;
  bool prefill_busy = false;
  // When the last prefill chunk was due; set only if another follows at once.
  std::optional<base::Instant> prefill_due;
  PrefixCache cache;
  std::deque<LoadSample> loads;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_ENGINE_MODEL_H_
