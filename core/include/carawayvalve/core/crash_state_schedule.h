#ifndef CARAWAYVALVE_CORE_CRASH_STATE_SCHEDULE_H_
#define CARAWAYVALVE_CORE_CRASH_STATE_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/poison_request_tracker.h"

namespace carawayvalve::core {

// Read the stored state. Answered by NoteRead or NoteFailed.
struct ReadCrashState {
  bool operator==(const ReadCrashState&) const = default;
};

// Replace the stored state, if it still has this revision, or create it.
// Answered by NoteStored, NoteConflict or NoteFailed.
struct StoreCrashState {
  std::optional<int64_t> revision;
  CrashState state;

  bool operator==(const StoreCrashState&) const = default;
};

using CrashStateCall = std::variant<ReadCrashState, StoreCrashState>;

// Decides when a process reads what others knew of crashes, and when it stores
// what all know for the successors after the loss of all. Each process reads
// once when it starts. One of them, the writer, stores: seldom, as crashes are
// rare, and nothing while there is no news. It has one call under way at most.
class CrashStateSchedule {
 public:
  struct Settings {
    // News waits this long: a request that crashes nothing is answered
    // meanwhile, which clears it.
    base::Duration delay = std::chrono::milliseconds(200);
    // The minimum interval between two writes, and the same while there are no
    // new crashes, only some that don't count any more.
    base::Duration interval = std::chrono::seconds(1);
    base::Duration removal_interval = std::chrono::seconds(5);
    // Until the next call after one that failed.
    base::Duration retry_delay = std::chrono::milliseconds(500);
    // Far less than the store takes. Contents with fewer crashes, then older
    // crashes, are left out.
    size_t max_bytes = 65536;

    bool operator==(const Settings&) const = default;
  };

  // What a step depends on besides the crashes.
  struct Conditions {
    // This process stores.
    bool is_writer = false;
    // The store's era, 0 while it isn't known. If it rises, what is stored may
    // be an older copy.
    int64_t store_era = 0;
  };

  explicit CrashStateSchedule(const Settings& settings) : settings(settings) {}

  // Returns the call that is due, if any. Must be called several times a
  // second.
  std::optional<CrashStateCall> Step(const PoisonRequestTracker& tracker,
                                     const Conditions& conditions,
                                     base::Instant now);
  // Records what is stored, with its revision; nothing if there is none.
  void NoteRead(const CrashState& stored, std::optional<int64_t> revision);
  void NoteStored(int64_t revision, base::Instant now);
  // Another process has stored meanwhile.
  void NoteConflict();
  // The call failed, or it isn't known whether it took effect.
  void NoteFailed(base::Instant now);

 private:
  // Names what a successor would refuse or suspect by the state.
  using Keys = std::set<std::string>;

  static Keys KeysOf(const CrashState& state);
  CrashState Shortened(CrashState state) const;
  std::optional<CrashStateCall> StoreNews(const PoisonRequestTracker& tracker,
                                          base::Instant now);

  Settings settings;
  // The store's era at the last step.
  int64_t store_era = 0;
  bool must_read = true;
  bool in_flight = false;
  std::optional<base::Instant> retry_at;
  std::optional<base::Instant> stored_at;
  std::optional<int64_t> revision;
  Keys stored;
  // Those of the write under way.
  Keys sent;
  // The changes of the tracker whose outcome is stored.
  int64_t settled_changes = 0;
  int64_t sent_changes = 0;
  // Since when there have been others.
  std::optional<base::Instant> changed_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CRASH_STATE_SCHEDULE_H_
