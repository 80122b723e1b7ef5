#ifndef CARAWAYVALVE_CORE_RECENT_STATE_SCHEDULE_H_
#define CARAWAYVALVE_CORE_RECENT_STATE_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/store_revision.h"
#include "carawayvalve/core/stream_origins.h"
#include "carawayvalve/core/version_history.h"
#include "carawayvalve/core/window_counts.h"

namespace carawayvalve::core {

// What successors need after the loss of all processes, as one of them stores
// it. True at any later time: origins don't change, counts are merged as
// maxima, and ages are relative to `written`.
struct RecentState {
  // True time since 1970, see WallClockEstimator.
  base::Duration written{};
  // The versions of all services up to this revision of the store; 0 if the
  // writer couldn't tell them.
  StoreRevision registry_revision;
  std::map<base::ServiceId, ServiceVersions> versions;
  std::vector<StreamOrigin> origins;
  std::vector<WindowCountsPart> counts;

  bool operator==(const RecentState&) const = default;
};

// Writes the state into the object with this number. Answered by NoteStored or
// NoteFailed with the number of the call.
struct StoreRecentState {
  int64_t call = 0;
  int64_t slot = 0;
  RecentState state;

  bool operator==(const StoreRecentState&) const = default;
};

// Decides which process stores what successors need after the loss of all, and
// when. The preferred holder of the duties among the live processes is the
// writer; the others tell it the origins of their streams. It has one call
// under way at most, makes few calls a second whatever the number of processes,
// and none without news. Each state goes into one of a fixed number of objects
// by the time of day, so that a successor doesn't overwrite what it hasn't
// read.
class RecentStateSchedule {
 public:
  struct Settings {
    // The minimum interval between two calls, also the time of day that one
    // object is for.
    base::Duration interval = std::chrono::milliseconds(200);
    // The same while only counts have changed.
    base::Duration counts_interval = std::chrono::milliseconds(400);
    // The intervals double with each failed call, up to this one.
    base::Duration max_retry_interval = std::chrono::milliseconds(1600);
    int64_t slots = 64;
    // Far less than the store takes. What doesn't fit follows in the next call.
    size_t max_bytes = 65536;
    // A process that has just started doesn't know yet which others are live.
    base::Duration settle_time = std::chrono::milliseconds(1500);
    // Datagrams may be lost, so that the writer is told an origin twice.
    int64_t tells = 2;
    // Keeps the messages to the writer small.
    size_t max_told = 32;
    // Further origins are dropped, the oldest first.
    size_t max_pending = 8192;

    bool operator==(const Settings&) const = default;
  };

  // What the writer stores besides the origins.
  struct Sources {
    const WindowCounts& counts;
    // The first window that may not have been sealed.
    int64_t first_window = 0;
    std::map<base::ServiceId, ServiceVersions> versions;
    StoreRevision registry_revision;
    // True time since 1970.
    base::Duration wall_time{};
  };

  // `duty` names the duty whose preferred holder is the writer.
  RecentStateSchedule(const Settings& settings,
                      std::string duty,
                      base::HostId self,
                      base::Instant now);

  // Sets this process and the live peers.
  void SetLive(const std::vector<base::HostId>& live);
  // Returns the process that stores.
  const base::HostId& writer() const { return this->preferred; }
  bool IsWriter(base::Instant now) const {
    return this->preferred == this->self &&
           now - this->started >= this->settings.settle_time;
  }

  // Records an origin that a successor may need.
  void NoteOrigin(const StreamOrigin& origin, base::Instant now);
  // Returns the origins that the writer is to be told now; none to itself.
  std::vector<StreamOrigin> TakeForWriter(base::Instant now);

  // Returns whether Step may return a call now.
  bool IsDue(base::Instant now) const;
  // Returns the call that is due, if any. Must be called every few dozen
  // milliseconds while IsDue.
  std::optional<StoreRecentState> Step(const Sources& sources,
                                       base::Instant now);
  void NoteStored(int64_t call);
  // The call failed, or it isn't known whether it took effect.
  void NoteFailed(int64_t call);

  // Returns the number of origins that aren't stored.
  size_t pending() const { return this->untold.size(); }

 private:
  struct Pending {
    StreamOrigin origin;
    base::Instant noted;
    int64_t tells_left = 0;
  };
  using CountKey = std::pair<int64_t, base::BootId>;

  base::Duration Interval(bool has_origins) const;
  // Half of the time until an object is written again: an origin that is noted
  // after it is stored again.
  base::Duration Lap() const {
    return this->settings.interval * this->settings.slots / 2;
  }
  void ForgetOld(base::Instant now);
  std::vector<Pending> TakePending(size_t& bytes_left);
  // Returns the counts that aren't stored, from the one after `last_count` on.
  std::vector<WindowCountsPart> NewCounts(const Sources& sources,
                                          size_t& bytes_left);
  std::optional<WindowCountsPart> NewCountsOf(
      const WindowCountsPart& part) const;

  Settings settings;
  std::string duty;
  base::HostId self;
  base::HostId preferred;
  base::Instant started;

  std::deque<Pending> untold;
  // When each origin was noted that is pending or was lately.
  std::unordered_map<base::RequestId, base::Instant> known;
  std::deque<std::pair<base::Instant, base::RequestId>> known_order;
  std::map<CountKey, AccountCounts> stored_counts;
  // The last one of the previous state; the next begins after it, so that each
  // gets its turn.
  CountKey last_count;

  int64_t last_call = 0;
  std::optional<base::Instant> called_at;
  std::optional<int64_t> last_slot;
  int64_t failures = 0;
  // The call under way.
  std::optional<int64_t> in_flight;
  std::vector<Pending> sent_origins;
  std::vector<WindowCountsPart> sent_counts;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RECENT_STATE_SCHEDULE_H_
