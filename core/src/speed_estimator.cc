#include "carawayvalve/core/speed_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace carawayvalve::core {

namespace {

using Ms = std::chrono::duration<double, std::milli>;

// The newest observations that are kept of each group.
constexpr size_t kGroupSize = 32;
// Groups with fewer observations are left out.
constexpr size_t kMinGroupSize = 8;
// Observations before the first estimate, and between two estimates.
constexpr int64_t kMinObservations = 16;
constexpr int64_t kEstimateInterval = 8;
// The line runs through this quantile of each group.
constexpr size_t kQuantileDivisor = 4;
// Rounds in which the line and the quantiles by it are found.
constexpr int kFitRounds = 3;
// Estimates within this factor of the prior don't contradict it.
constexpr double kTolerance = 1.15;
// Shorter times are raised to this where they divide.
constexpr double kMinMs = 0.01;
// The time grows with the load at least so much that this part of the longest
// time is due to it.
constexpr double kMinLoadPart = 0.1;
// Weight of the newest observation in the mean slot time.
constexpr double kSlotTimeWeight = 1.0 / 32;
constexpr Ms kMinSlotTime(2);
constexpr Ms kMaxSlotTime(2000);
// The slot time changes the estimate only by steps of this part of it.
constexpr double kSlotTimeStep = 0.1;
// With fewer observations of a kind, an estimate is young. Enough for a few
// groups of observations.
constexpr int64_t kYoungObservations = 128;
constexpr int64_t kYoungSlotTimes = 32;
// Own observations that may contradict what others have found.
constexpr int64_t kMinToContradict = kGroupSize;
// Speeds that others state are believed within these bounds.
constexpr double kMaxTokensPerMs = 100000;
constexpr Ms kMaxTime(60000);

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(Ms(ms));
}

double ToMs(base::Duration duration) {
  return Ms(duration).count();
}

struct Weighted {
  double value = 0;
  double weight = 0;
};

double WeightedMedian(std::vector<Weighted> values) {
  std::sort(values.begin(), values.end(),
            [](const Weighted& one, const Weighted& other) {
              return one.value < other.value;
            });
  double left = 0;
  for (const Weighted& value : values) {
    left += value.weight / 2;
  }
  for (const Weighted& value : values) {
    left -= value.weight;
    if (left <= 0) {
      return value.value;
    }
  }
  return values.empty() ? 0 : values.back().value;
}

}  // namespace

// The lower quartile of one group.
struct LatencyLine::Point {
  double units = 0;
  double ms = 0;
  double weight = 0;
};

base::Duration LatencyLine::Estimate::At(double units) const {
  return this->base + FromMs(ToMs(this->per_unit) * units);
}

bool LatencyLine::Add(int64_t units, base::Duration time) {
  const auto width =
      std::bit_width(static_cast<uint64_t>(std::max<int64_t>(units, 0)));
  Group& group =
      this->groups[std::min(static_cast<size_t>(width), kGroups - 1)];
  if (group.newest.size() < kGroupSize) {
    group.newest.push_back({units, time});
  } else {
    group.newest[group.next] = {units, time};
    group.next = (group.next + 1) % kGroupSize;
  }
  this->count += 1;
  return this->count >= kMinObservations &&
         this->count % kEstimateInterval == 0;
}

std::vector<LatencyLine::Point> LatencyLine::LowerQuartiles(
    const Estimate& reference) const {
  const auto relative_time = [&](const Observation& observation) {
    const double expected =
        ToMs(reference.At(static_cast<double>(observation.units)));
    return ToMs(observation.time) / std::max(expected, kMinMs);
  };
  std::vector<Point> points;
  for (const Group& group : this->groups) {
    if (group.newest.size() < kMinGroupSize) {
      continue;
    }
    std::vector<Observation> sorted = group.newest;
    const auto quartile =
        sorted.begin() + static_cast<int64_t>(sorted.size() / kQuantileDivisor);
    std::nth_element(sorted.begin(), quartile, sorted.end(),
                     [&](const Observation& one, const Observation& other) {
                       return relative_time(one) < relative_time(other);
                     });
    points.push_back({static_cast<double>(quartile->units),
                      ToMs(quartile->time),
                      static_cast<double>(sorted.size())});
  }
  return points;
}

std::optional<LatencyLine::Estimate> LatencyLine::Fit(
    const Estimate& prior) const {
  // Within a group, units differ by up to two times. Which times are long for
  // their load is told by the line itself; at first it is taken to be
  // proportional to the load.
  Estimate line{{}, base::Milliseconds(1)};
  for (int round = 0; round < kFitRounds; ++round) {
    const std::vector<Point> points = this->LowerQuartiles(line);
    if (points.empty() || this->count < kMinObservations) {
      return std::nullopt;
    }
    line = FitLine(points, prior);
  }
  return line;
}

LatencyLine::Estimate LatencyLine::FitLine(const std::vector<Point>& points,
                                           const Estimate& prior) {
  const bool as_expected =
      std::all_of(points.begin(), points.end(), [&](const Point& point) {
        const double prior_ms = ToMs(prior.At(point.units));
        return point.ms < prior_ms * kTolerance &&
               prior_ms < point.ms * kTolerance;
      });
  if (as_expected) {
    return prior;
  }
  std::vector<Weighted> slopes;
  for (size_t i = 0; i < points.size(); ++i) {
    for (size_t j = i + 1; j < points.size(); ++j) {
      const double distance = points[j].units - points[i].units;
      slopes.push_back({(points[j].ms - points[i].ms) / distance,
                        std::min(points[i].weight, points[j].weight) *
                            distance / points[j].units});
    }
  }
  const Point& widest = *std::max_element(
      points.begin(), points.end(), [](const Point& one, const Point& other) {
        return one.weight < other.weight;
      });
  // One group tells only the sum: the prior tells how it is divided.
  const double prior_part =
      ToMs(prior.per_unit) / std::max(ToMs(prior.At(widest.units)), kMinMs);
  double slope =
      slopes.empty() ? widest.ms * prior_part : WeightedMedian(slopes);
  std::vector<Weighted> rates;
  for (const Point& point : points) {
    if (point.units > 0) {
      rates.push_back({point.ms / point.units, point.weight});
    }
  }
  if (!rates.empty()) {
    // The median, as a single group may be misjudged.
    const double rate = WeightedMedian(rates);
    slope = std::clamp(slope, kMinLoadPart * rate, rate);
  }
  // More load makes nothing faster.
  slope = std::max(slope, 0.0);
  std::vector<Weighted> bases;
  bases.reserve(points.size());
  for (const Point& point : points) {
    bases.push_back({point.ms - slope * point.units, point.weight});
  }
  return {FromMs(std::max(WeightedMedian(bases), 0.0)), FromMs(slope)};
}

// Adds one observation to a service's estimate. Returns whether that changed.
struct SpeedEstimator::Updater {
  ServiceSpeeds& service;

  bool Add(LatencyLine& line, int64_t units, base::Duration time) {
    return line.Add(units, time) && (this->service.adopted == 0 ||
                                     line.observations() >= kMinToContradict);
  }

  bool operator()(const PrefillObserved& observed) {
    if (!this->Add(this->service.prefill, observed.work, observed.time)) {
      return false;
    }
    const LatencyLine::Estimate before = {
        this->service.prior.prefill_base,
        FromMs(1 / this->service.prior.prefill_tokens_per_ms)};
    const auto fit = this->service.prefill.Fit(before);
    if (!fit.has_value() || fit->per_unit.count() <= 0) {
      return false;
    }
    this->service.speeds.prefill_base = fit->base;
    this->service.speeds.prefill_tokens_per_ms =
        *fit == before ? this->service.prior.prefill_tokens_per_ms
                       : 1 / ToMs(fit->per_unit);
    return true;
  }

  bool operator()(const FirstEventObserved& observed) {
    if (!this->Add(this->service.first_event, observed.requests,
                   observed.time)) {
      return false;
    }
    const auto fit =
        this->service.first_event.Fit({this->service.prior.first_event,
                                       this->service.prior.step_per_request});
    if (!fit.has_value()) {
      return false;
    }
    this->service.speeds.first_event = fit->base;
    this->service.speeds.step_per_request = fit->per_unit;
    return true;
  }

  bool operator()(const PlainAnswerObserved& observed) {
    // The time of one request, if all slots are used in turn.
    const int64_t slots = std::max<int64_t>(observed.slots, 1);
    const base::Duration alone =
        observed.time * slots / (slots + observed.requests);
    if (!this->Add(this->service.plain, 0, alone)) {
      return false;
    }
    const auto fit =
        this->service.plain.Fit({this->service.prior.plain_request, {}});
    if (!fit.has_value()) {
      return false;
    }
    this->service.speeds.plain_request = fit->base;
    return true;
  }

  bool operator()(const SlotTimeObserved& observed) {
    double& mean = this->service.mean_slot_ms;
    this->service.slot_times += 1;
    mean +=
        kSlotTimeWeight * (std::clamp(ToMs(observed.time), kMinSlotTime.count(),
                                      kMaxSlotTime.count()) -
                           mean);
    const double shown = ToMs(this->service.speeds.slot_time);
    if (std::abs(mean - shown) < kSlotTimeStep * shown) {
      return false;
    }
    this->service.speeds.slot_time = FromMs(mean);
    return true;
  }
};

// Returns the number of observations of one kind.
struct SpeedEstimator::Counter {
  const ServiceSpeeds& service;

  int64_t operator()(const PrefillObserved& /*observed*/) const {
    return this->service.prefill.observations();
  }
  int64_t operator()(const FirstEventObserved& /*observed*/) const {
    return this->service.first_event.observations();
  }
  int64_t operator()(const PlainAnswerObserved& /*observed*/) const {
    return this->service.plain.observations();
  }
  int64_t operator()(const SlotTimeObserved& /*observed*/) const {
    return this->service.slot_times;
  }
};

int64_t SpeedEstimator::ServiceSpeeds::observations() const {
  return std::max(this->adopted, this->prefill.observations() +
                                     this->first_event.observations() +
                                     this->plain.observations());
}

SpeedEstimator::ServiceSpeeds& SpeedEstimator::Find(
    const base::ServiceId& service) {
  const auto [found, is_new] = this->services.try_emplace(service);
  if (is_new) {
    found->second.speeds = this->prior;
    found->second.prior = this->prior;
    found->second.mean_slot_ms = ToMs(this->prior.slot_time);
  }
  return found->second;
}

bool SpeedEstimator::Note(const base::ServiceId& service,
                          const SpeedObservation& observed) {
  ServiceSpeeds& estimated = this->Find(service);
  const EngineSpeeds before = estimated.speeds;
  const bool updated = std::visit(Updater{estimated}, observed);
  return updated && estimated.speeds != before;
}

bool SpeedEstimator::NotePeer(const base::ServiceId& service,
                              const SpeedObservation& observed) {
  return this->IsYoung(service, observed) && this->Note(service, observed);
}

bool SpeedEstimator::IsYoung(const base::ServiceId& service,
                             const SpeedObservation& observed) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return true;
  }
  const int64_t enough = std::holds_alternative<SlotTimeObserved>(observed)
                             ? kYoungSlotTimes
                             : kYoungObservations;
  return found->second.adopted == 0 &&
         std::visit(Counter{found->second}, observed) < enough;
}

std::map<base::ServiceId, SharedSpeeds> SpeedEstimator::Known() const {
  std::map<base::ServiceId, SharedSpeeds> known;
  for (const auto& [service, estimated] : this->services) {
    if (estimated.observations() >= kMinObservations) {
      known[service] = {estimated.speeds, estimated.observations()};
    }
  }
  return known;
}

bool SpeedEstimator::Adopt(const base::ServiceId& service,
                           const SharedSpeeds& shared) {
  const EngineSpeeds& speeds = shared.speeds;
  const double rate = speeds.prefill_tokens_per_ms;
  bool plausible = rate > 0 && rate <= kMaxTokensPerMs;
  for (const base::Duration time :
       {speeds.prefill_base, speeds.first_event, speeds.step_per_request,
        speeds.plain_request, speeds.slot_time}) {
    plausible = plausible && time >= base::Duration(0) && time <= kMaxTime;
  }
  ServiceSpeeds& estimated = this->Find(service);
  if (!plausible || shared.observations <= estimated.observations()) {
    return false;
  }
  const EngineSpeeds before = estimated.speeds;
  estimated.speeds = estimated.prior = speeds;
  // Larger than what the observations of one process show.
  estimated.adopted = std::min(shared.observations, 3 * kYoungObservations);
  estimated.mean_slot_ms = std::clamp(
      ToMs(speeds.slot_time), kMinSlotTime.count(), kMaxSlotTime.count());
  return estimated.speeds != before;
}

const EngineSpeeds& SpeedEstimator::SpeedsOf(
    const base::ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? this->prior : found->second.speeds;
}

}  // namespace carawayvalve::core
