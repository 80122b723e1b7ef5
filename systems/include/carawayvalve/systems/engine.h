#ifndef CARAWAYVALVE_SYSTEMS_ENGINE_H_
#define CARAWAYVALVE_SYSTEMS_ENGINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::systems {

// A request to generate text, possibly continuing an earlier attempt.
struct Generation {
  std::string id;
  std::string model;
  std::string prompt;
  int32_t max_tokens = 0;
  // Output of earlier attempts, which this one continues.
  std::string text_so_far;
  int32_t tokens_so_far = 0;
  int32_t priority = 0;

  bool operator==(const Generation&) const = default;
};

// The result and token counts that an engine reports when a generation ends.
struct GenerationEnd {
  std::string finish_reason;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t cached_tokens = 0;

  bool operator==(const GenerationEnd&) const = default;
};

// One line of an engine's output: a token's text or, if `end` is set, the end.
struct EngineLine {
  std::string text;
  std::optional<GenerationEnd> end;

  bool operator==(const EngineLine&) const = default;
};

// An engine's load report.
struct EngineLoad {
  int64_t queued_prefill_tokens = 0;
  int64_t running_requests = 0;
  int64_t prefill_tokens_per_second = 0;
  int64_t decode_tokens_per_second = 0;
  std::string role;
  std::vector<std::string> models;
  // Empty if the engine reports none.
  std::string software_version;

  bool operator==(const EngineLoad&) const = default;
};

// Changes to an engine's prefix cache.
struct CacheEvents {
  // Number of the first event of the next read.
  int64_t next = 0;
  // True when events before these were lost.
  bool gap = false;
  std::vector<std::string> added;
  std::vector<std::string> dropped;

  bool operator==(const CacheEvents&) const = default;
};

// An order to change an engine's role or loaded model.
struct EngineOrder {
  int64_t fencing_token = 0;
  // Empty strings leave the engine as it is.
  std::string role;
  std::string model;
  std::string version;

  bool operator==(const EngineOrder&) const = default;
};

// Parses one line of an engine's output. Throws base::Error when the line is
// malformed.
EngineLine ParseEngineLine(const std::string& line);

// Adapter to one model engine.
class Engine {
 public:
  explicit Engine(std::string address);

  enum class GenerateResult {
    kEnded,      // the engine sent its end line
    kRefused,    // the engine reported that it did not run the request
    kCancelled,  // `on_line` returned false or `cancelled` returned true
  };

  // Runs a generation and passes each raw output line, including the end line,
  // to `on_line` without its line break. Throws base::NotReachedError when the
  // engine certainly did not receive the request and base::UnknownOutcomeError
  // when the output breaks off or is malformed. `on_head` gets the status and
  // the headers of the engine's answer.
  GenerateResult Generate(
      const Generation& generation,
      base::Milliseconds timeout,
      const std::function<
          void(int status, const std::vector<HttpHeader>& headers)>& on_head,
      const std::function<bool(const std::string& line)>& on_line,
      const std::function<bool()>& cancelled) const;

  // Cancels the generation `id`.
  void Cancel(const std::string& id) const;
  EngineLoad Load() const;
  // Returns the cache events from number `from` on.
  CacheEvents ReadCacheEvents(int64_t from) const;

  // Sends `order`. Returns false when the engine rejects its fencing token.
  bool Order(const EngineOrder& order, base::Milliseconds timeout) const;

  // Returns the KV cache of the cached prefix of `prompt` in serialised form.
  std::string ExportKv(const std::string& prompt) const;
  // Loads a KV cache that ExportKv returned.
  void ImportKv(const std::string& kv) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_ENGINE_H_
