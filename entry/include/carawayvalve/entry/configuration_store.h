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

// A change was refused because another generation was accepted since the
// caller looked.
class ConflictError : public base::Error {
 public:
  // `generation` is the one in force.
  explicit ConflictError(int64_t generation);

  int64_t generation() const { return this->other_generation; }

 private:
  int64_t other_generation;
};

// Makes the wanted configuration from the one in force. The generation that
// it returns is ignored. May throw to call the change off.
using ConfigurationFunction =
    std::function<config::Configuration(const config::Configuration&)>;

// How a change ended.
struct ConfigurationChange {
  // What is in force now, with its generation.
  config::Configuration configuration;
  // False when the wanted configuration was in force already.
  bool changed = false;

  bool operator==(const ConfigurationChange&) const = default;
};

namespace detail {

// Where a watch goes on, if one ended well before.
struct WatchPosition {
  std::optional<int64_t> revision;
  int64_t generation = 0;  // of the newest pointer seen

  bool operator==(const WatchPosition&) const = default;
};

// Hands the position to one watch at a time; others get an empty one.
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
// base::NotReachedError or base::UnknownOutcomeError when the API gives no
// answer, and base::Error when what it holds can't be read. Safe to call from
// several threads.
class ConfigurationStore {
 public:
  // `writer` names this process in the store; one that only reads needs none.
  explicit ConfigurationStore(systems::ObjectApi api, std::string writer = "");

  // Returns nothing before the first change.
  std::optional<config::Configuration> Read() const;

  // Reads the generation alone; 0 before the first change.
  int64_t ReadGeneration() const;

  // Puts in force what `wanted` makes of the configuration in force, as the
  // next generation. Writes nothing when that is no different. Throws
  // ConflictError when another change was accepted meanwhile, and base::Error
  // that lists the faults of the wanted configuration. After
  // base::UnknownOutcomeError the change may have been accepted; the same call
  // again is safe.
  ConfigurationChange Change(const ConfigurationFunction& wanted) const;

  // Waits up to `wait` for a generation above `generation`. Returns it, or
  // nothing when there is none.
  std::optional<config::Configuration> Watch(int64_t generation,
                                             base::Milliseconds wait);

 private:
  systems::ObjectApi api;
  std::string writer;
  detail::WatchState watch_state;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_CONFIGURATION_STORE_H_
