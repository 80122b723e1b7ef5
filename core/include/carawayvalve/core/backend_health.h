#ifndef CARAWAYVALVE_CORE_BACKEND_HEALTH_H_
#define CARAWAYVALVE_CORE_BACKEND_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How well each backend server serves this process, judged by the requests
// that were sent to it alone: health answers may be wrong either way, or right
// for another caller only.
class BackendHealth {
 public:
  struct Settings {
    // Failures in a row after which nothing is sent for a while.
    int64_t failure_threshold = 2;
    // The first pause; doubles with each further failure up to `most_pause`.
    base::Duration pause = std::chrono::milliseconds(500);
    base::Duration max_pause = std::chrono::seconds(4);
    // Weight of the newest observation in the moving averages.
    double newest_weight = 0.2;
    // Slowness and failures are forgotten by half in this time, so that a
    // backend server that was avoided is tried again.
    base::Duration half_life = std::chrono::seconds(3);

    bool operator==(const Settings&) const = default;
  };

  explicit BackendHealth(const Settings& settings) : settings(settings) {}

  // A first token or an answer came after `observed`. A backend server as fast
  // as its data sheet says was expected to take `expected`.
  void NoteAnswer(const base::BackendServerId& id,
                  base::Duration observed,
                  base::Duration expected,
                  base::Instant now);
  // A request got no whole answer: no connection, a broken or garbled one, or
  // silence.
  void NoteFailure(const base::BackendServerId& id, base::Instant now);
  // It couldn't be connected to: it is down or cut off.
  void NoteUnreachable(const base::BackendServerId& id, base::Instant now);
  // It was ordered to change its role and declines what has not begun until
  // that is done, which is expected before `until`.
  void NoteRoleChangeStarted(const base::BackendServerId& id, base::Instant until);
  // It has another role now.
  void NoteRoleChangeDone(const base::BackendServerId& id);
  // It was started anew.
  void Forget(const base::BackendServerId& id);

  // Whether a request may be sent there while `under_way` others of this
  // process are. After a pause one alone is, until it was answered.
  bool Usable(const base::BackendServerId& id,
              int64_t under_way,
              base::Instant now) const;
  // How many times longer than expected its answers take; at least 1.
  double Slowness(const base::BackendServerId& id, base::Instant now) const;
  // The part of its requests that failed lately, from 0 to 1.
  double FailureRate(const base::BackendServerId& id, base::Instant now) const;

 private:
  struct Record {
    double slowness = 1;
    double failures = 0;
    int64_t in_a_row = 0;
    base::Instant paused_until;
    base::Instant away_until;
    base::Instant noted;
  };

  // The part of an observation of `record` that still counts.
  double Weight(const Record& record, base::Instant now) const;
  void Decay(Record& record, base::Instant now);
  void Pause(Record& record, base::Instant now);

  Settings settings;
  std::unordered_map<base::BackendServerId, Record> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_HEALTH_H_
