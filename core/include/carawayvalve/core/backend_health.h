#ifndef CARAWAYVALVE_CORE_BACKEND_HEALTH_H_
#define CARAWAYVALVE_CORE_BACKEND_HEALTH_H_

#include <cstdint>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Tracks slowness and failures of each backend server and stops sending to one
// that fails repeatedly, like a circuit breaker. Only the requests of this
// process count: a backend server's health check may be wrong either way, or
// right for another caller only.
class BackendHealth {
 public:
  struct Settings {
    // Consecutive failures after which nothing is sent for a pause.
    int64_t failure_threshold = 2;
    // The first pause. Doubles with each further failure up to `max_pause`.
    base::Duration pause = std::chrono::milliseconds(500);
    base::Duration max_pause = std::chrono::seconds(4);
    // Weight of the newest observation in the moving averages, from 0 to 1.
    double newest_weight = 0.2;
    // Time in which slowness and failure rate decay by half, so that requests
    // return to a backend server that was avoided.
    base::Duration half_life = std::chrono::seconds(3);

    bool operator==(const Settings&) const = default;
  };

  explicit BackendHealth(const Settings& settings) : settings(settings) {}

  // Records that the first token or the answer of a request took `observed`.
  // `expected` is the time by the speed that the backend server is specified
  // for. Ends a pause.
  void NoteAnswer(const base::BackendServerId& id,
                  base::Duration observed,
                  base::Duration expected,
                  base::Instant now);
  // Records that a request got no complete answer: the connection failed or
  // broke, the answer was malformed, or none came.
  void NoteFailure(const base::BackendServerId& id, base::Instant now);
  // Records that connecting failed, because the backend server is down or
  // unreachable. Pauses it after the first failure.
  void NoteUnreachable(const base::BackendServerId& id, base::Instant now);
  // Records that a request was declined as another backend server has the
  // address, or as this one has another role. Pauses it, for longer each time:
  // its entry may stand for seconds after its end.
  void NoteMisdirected(const base::BackendServerId& id, base::Instant now);
  // Records that the backend server was ordered to change its role. Until that
  // is done, expected before `until`, it declines requests that it has not
  // begun, and isn't usable.
  void NoteRoleChangeStarted(const base::BackendServerId& id,
                             base::Instant until);
  // Records that the backend server asked for no requests until then: it isn't
  // usable, but not ill either. Afterwards, the requests that it may have in
  // flight from this process start at one and double with each answer.
  void NoteAskedToWait(const base::BackendServerId& id, base::Instant until);
  // Returns whether that time hasn't passed yet.
  bool AskedToWait(const base::BackendServerId& id, base::Instant now) const;
  // Records that the backend server has another role now.
  void NoteRoleChangeDone(const base::BackendServerId& id);
  // Drops all that is recorded of a backend server, as it has restarted.
  void Forget(const base::BackendServerId& id);

  // Returns whether a request may be sent while this process has `in_flight`
  // others there. After a pause a single request is allowed at a time until one
  // has been answered.
  bool Usable(const base::BackendServerId& id,
              int64_t in_flight,
              base::Instant now) const;
  // Returns how many times longer than expected answers take, at least 1.
  double Slowness(const base::BackendServerId& id, base::Instant now) const;
  // Returns the moving average of failed requests, from 0 to 1.
  double FailureRate(const base::BackendServerId& id, base::Instant now) const;

 private:
  struct Record {
    double slowness = 1;
    double failure_rate = 0;
    int64_t consecutive_failures = 0;
    int64_t consecutive_misdirected = 0;
    base::Instant paused_until;
    base::Instant role_change_until;
    base::Instant wait_until;
    // Requests that may be in flight after `wait_until`; 0 for any number.
    int64_t max_in_flight = 0;
    base::Instant updated;
  };

  // Returns the weight from 0 to 1 that the averages of `record` still have.
  double Weight(const Record& record, base::Instant now) const;
  void Decay(Record& record, base::Instant now);
  // Pauses for the first pause, doubled so often.
  void Pause(Record& record, int64_t doublings, base::Instant now);

  Settings settings;
  std::unordered_map<base::BackendServerId, Record> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_HEALTH_H_
