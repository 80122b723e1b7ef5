#ifndef CARAWAYVALVE_SYSTEMS_ENGINE_H_
#define CARAWAYVALVE_SYSTEMS_ENGINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

struct Generation {
  std::string id;
  std::string model;
  std::string prompt;
  int32_t max_tokens = 0;
  std::string text_so_far;
  int32_t tokens_so_far = 0;
  int32_t priority = 0;

  bool operator==(const Generation&) const = default;
};

// The engine's account of a generation that came to its end.
struct GenerationEnd {
  std::string finish_reason;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t cached_tokens = 0;

  bool operator==(const GenerationEnd&) const = default;
};

// What an engine's output line says: a token, or the end.
struct EngineLine {
  std::string text;
  std::optional<GenerationEnd> end;

  bool operator==(const EngineLine&) const = default;
};

struct EngineLoad {
  int64_t queued_prefill_tokens = 0;
  int64_t running_requests = 0;
  int64_t prefill_tokens_per_second = 0;
  int64_t decode_tokens_per_second = 0;
  std::string role;
  std::vector<std::string> models;

  bool operator==(const EngineLoad&) const = default;
};

struct CacheEvents {
  int64_t next = 0;
  // Events were lost before this answer.
  bool gap = false;
  std::vector<std::string> added;
  std::vector<std::string> dropped;

  bool operator==(const CacheEvents&) const = default;
};

struct EngineOrder {
  int64_t fencing_token = 0;
  // Empty members change nothing.
  std::string role;
  std::string model;
  std::string version;

  bool operator==(const EngineOrder&) const = default;
};

// Reads one line of an engine's output. Throws base::Error when it isn't one.
EngineLine ParseEngineLine(const std::string& line);

// Adapter to one model engine.
class Engine {
 public:
  explicit Engine(std::string address);

  enum class GenerateResult {
    kEnded,      // the engine sent its end line
    kRefused,    // the engine said that it did not run the request
    kCancelled,  // `on_line` returned false or `cancelled` true
  };

  // Runs a generation and hands over each raw line, the end line included,
  // without its line break. Throws base::NotReachedError when the engine
  // certainly didn't get it, base::UnknownOutcomeError when it broke off.
  GenerateResult Generate(
      const Generation& generation,
      base::Milliseconds timeout,
      const std::function<bool(const std::string& line)>& on_line,
      const std::function<bool()>& cancelled) const;

  void Cancel(const std::string& id) const;
  EngineLoad Load() const;
  CacheEvents ReadCacheEvents(int64_t from) const;

  // Returns false when the engine refused the fencing token.
  bool Order(const EngineOrder& order, base::Milliseconds timeout) const;

  std::string ExportKv(const std::string& prompt) const;
  void ImportKv(const std::string& kv) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_ENGINE_H_
