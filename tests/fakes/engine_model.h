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

struct EngineSettings {
  std::vector<std::string> models;
  std::string role;  // mixed, prefill or decode
  int64_t prefill_tokens_per_second = 0;
  int64_t decode_tokens_per_second = 0;
  int64_t slots = 0;
  int64_t cache_pieces = 0;
  base::Milliseconds load_lag = base::Milliseconds(0);
};

struct GenerationRequest {
  std::string id;
  std::string model;
  std::string prompt;
  std::string text_so_far;
  int64_t priority = 0;
  std::function<bool()> is_peer_closed;
};

// What takes an engine's time: prefill in turns, decode shared, and the slots
// before both. Thread-safe; each generation waits in its own thread.
class EngineModel {
 public:
  EngineModel(EngineSettings settings, std::stop_token stop);
  ~EngineModel();

  // A generation that the engine has taken.
  struct Job;
  // Returns nothing and says why in `reason` when the engine refuses.
  std::shared_ptr<Job> Submit(GenerationRequest request, std::string& reason);
  // Waits for a slot and the prefill; returns the number of cached tokens.
  // This and PaceToken throw StreamBroken when the job was cancelled.
  int64_t Prefill(Job& job);
  // Waits until the job's next token is due.
  void PaceToken(Job& job);
  void Finish(Job& job);
  void Cancel(const std::string& id);

  // Breaks off the generations under way. None enters while changes last.
  void BeginChange();
  // Empty strings change nothing.
  void EndChange(const std::string& role, const std::string& model);
  // How many generations changes have broken off.
  int64_t AbortedByChanges() const;
  // Whether the engine has the role and the model; empty ones it has.
  bool IsSetTo(const std::string& role, const std::string& model) const;

  // Answers of the paths of the same names.
  nlohmann::json Load() const;
  nlohmann::json CacheEvents(int64_t from) const;
  nlohmann::json ExportKv(const std::string& prompt) const;
  void ImportKv(const std::string& kv);

 private:
  enum class Stage { kWaiting, kPrefill, kDecode, kFinished };
  // Higher priorities first, then earlier arrivals.
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
  // When the last chunk was due, if another followed at once.
  std::optional<base::Instant> prefill_due;
  PrefixCache cache;
  std::deque<LoadSample> loads;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_ENGINE_MODEL_H_
