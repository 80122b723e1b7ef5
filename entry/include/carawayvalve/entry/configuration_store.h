#ifndef CARAWAYVALVE_ENTRY_CONFIGURATION_STORE_H_
#define CARAWAYVALVE_ENTRY_CONFIGURATION_STORE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/systems/object_api.h"

namespace carawayvalve::entry {

// A change was refused because another generation was accepted after the caller
// had read the configuration.
class ConflictError : public base::Error {
 public:
  // `generation` is the generation in force.
  explicit ConflictError(int64_t generation);

  int64_t generation() const { return this->other_generation; }

 private:
  int64_t other_generation;
};

// Returns the wanted configuration, given the one in force. The generation of
// the result is ignored. May throw to cancel the change.
using ConfigurationFunction =
    std::function<config::Configuration(const config::Configuration&)>;

// The outcome of a change.
struct ConfigurationChange {
  // The configuration in force after the call, with its generation.
  config::Configuration configuration;
  // False when the wanted configuration was in force already.
  bool changed = false;

  bool operator==(const ConfigurationChange&) const = default;
};

namespace detail {

// Where the next watch continues; empty unless an earlier watch succeeded.
struct WatchPosition {
  std::optional<int64_t> revision;
  int64_t generation = 0;  // of the newest pointer read

  bool operator==(const WatchPosition&) const = default;
};

// Lends the position to one watch at a time: until Put, further calls of Take
// return an empty position.
class WatchState {
 public:
  WatchPosition Take();
  void Put(const WatchPosition& seen);

 private:
  std::mutex mutex;
  WatchPosition position;
};

}  // namespace detail

// The configuration in the platform's Object API. Every member throws
// base::NotReachedError or base::UnknownOutcomeError if the API doesn't answer,
// and base::Error if the stored objects can't be read. Safe to call from
// several threads.
class ConfigurationStore {
 public:
  // `writer` names this process in the stored generations; a process that only
  // reads may leave it empty.
  explicit ConfigurationStore(systems::ObjectApi api, std::string writer = "");

  // Returns the configuration in force, or nothing before the first change.
  std::optional<config::Configuration> Read() const;

  // Reads only the generation in force; 0 before the first change.
  int64_t ReadGeneration() const;

  // Puts the configuration that `wanted` returns in force as the next
  // generation. Writes nothing if it equals the one in force. Throws
  // ConflictError if another change was accepted in the meantime, and
  // base::Error that lists the faults of the wanted configuration. After
  // base::UnknownOutcomeError the change may have been accepted; it is safe to
  // repeat the call.
  ConfigurationChange Change(const ConfigurationFunction& wanted) const;

  // Waits up to `wait` for a generation above `generation`. Returns its
  // configuration, or nothing if there is none.
  std::optional<config::Configuration> Watch(int64_t generation,
                                             base::Milliseconds wait);

 private:
  systems::ObjectApi api;
  std::string writer;
  detail::WatchState watch_state;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_CONFIGURATION_STORE_H_
