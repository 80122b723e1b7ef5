#ifndef CARAWAYVALVE_CORE_SPEED_ESTIMATOR_H_
#define CARAWAYVALVE_CORE_SPEED_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/engine_speeds.h"

namespace carawayvalve::core {

// Estimates a time that grows linearly with a load, from observations most of
// which were lengthened by something else, such as a queue: observations of
// similar load are grouped, and the line runs through the lower quartile of
// each group. Old observations are replaced by new ones of the same group.
class LatencyLine {
 public:
  struct Estimate {
    base::Duration base{};
    base::Duration per_unit{};

    base::Duration At(double units) const;
    bool operator==(const Estimate&) const = default;
  };

  // Adds an observation and returns whether the estimate is due to be read.
  bool Add(int64_t units, base::Duration time);

  // Returns nothing before there are enough observations. `prior` tells what
  // part of the time is independent of the load while all observations are of
  // similar load; it is returned unless the observations contradict it.
  std::optional<Estimate> Fit(const Estimate& prior) const;

  int64_t observations() const { return this->count; }

 private:
  struct Observation {
    int64_t units = 0;
    base::Duration time{};
  };
  struct Group {
    std::vector<Observation> newest;
    size_t next = 0;
  };
  struct Point;

  static constexpr size_t kGroups = 24;

  // Returns the lower quartile of each group, by the times relative to those of
  // the reference.
  std::vector<Point> LowerQuartiles(const Estimate& reference) const;
  static Estimate FitLine(const std::vector<Point>& points,
                          const Estimate& prior);

  std::array<Group, kGroups> groups;
  int64_t count = 0;
};

// Observed times, each from a request whose answer was received.

// The prefill of a prompt at a prefill engine, which had no more to do before
// it than the prompt itself.
struct PrefillObserved {
  // Work of the prompt and ahead of it, in tokens of a short prompt.
  int64_t work = 0;
  base::Duration time{};
};

// The first event of a request whose KV cache was handed over.
struct FirstEventObserved {
  // Requests that ran at the engine already.
  int64_t requests = 0;
  base::Duration time{};
};

// The whole answer of a plain service.
struct PlainAnswerObserved {
  int64_t requests = 0;
  int64_t slots = 1;
  base::Duration time{};
};

// A request's time at a decode engine, from sending it to its end.
struct SlotTimeObserved {
  base::Duration time{};
};

using SpeedObservation = std::variant<PrefillObserved,
                                      FirstEventObserved,
                                      PlainAnswerObserved,
                                      SlotTimeObserved>;

// The speeds of a service's backend servers, and the number of observations of
// all processes that show them.
struct SharedSpeeds {
  EngineSpeeds speeds;
  int64_t observations = 0;

  bool operator==(const SharedSpeeds&) const = default;
};

// Estimates the speeds of each service's backend servers from the requests of
// this process, and of others while it knows little. Slow ones, waits in queues
// and misjudged caches are the minority that it is robust against.
class SpeedEstimator {
 public:
  explicit SpeedEstimator(const EngineSpeeds& prior) : prior(prior) {}

  // Returns whether the estimate has changed.
  bool Note(const base::ServiceId& service, const SpeedObservation& observed);
  // The same by another process's request. Has no effect once enough is known:
  // newer observations of this process then replace what others have said.
  bool NotePeer(const base::ServiceId& service,
                const SpeedObservation& observed);
  // Returns whether so little is known of what is observed that other processes
  // should be told too.
  bool IsYoung(const base::ServiceId& service,
               const SpeedObservation& observed) const;

  // Returns what a process that has just started should be told.
  std::map<base::ServiceId, SharedSpeeds> Known() const;
  // Assumes the speeds that others have found, until as many observations of
  // this process contradict them as are kept of one load. Has no effect unless
  // they rest on more observations than what is known. Returns whether the
  // estimate has changed.
  bool Adopt(const base::ServiceId& service, const SharedSpeeds& shared);

  const EngineSpeeds& SpeedsOf(const base::ServiceId& service) const;

 private:
  struct ServiceSpeeds {
    // Returns the number of observations that show the speeds.
    int64_t observations() const;

    EngineSpeeds speeds;
    // What holds until observations contradict it.
    EngineSpeeds prior;
    // The number of observations of others that show the prior.
    int64_t adopted = 0;
    double mean_slot_ms = 0;
    int64_t slot_times = 0;
    LatencyLine prefill;
    LatencyLine first_event;
    LatencyLine plain;
  };
  struct Updater;
  struct Counter;

  ServiceSpeeds& Find(const base::ServiceId& service);

  EngineSpeeds prior;
  std::map<base::ServiceId, ServiceSpeeds> services;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SPEED_ESTIMATOR_H_
