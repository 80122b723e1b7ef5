// Backend servers that limit the rate of their requests, and what gateways owe
// them.
#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include "soak.h"

namespace carawayvalve::tests {

using std::chrono::seconds;

namespace {

// From this time after a limit was named on, at most kToleratedFactor times
// what it allows, and kToleratedRequests more, may arrive in any kLimitWindow.
// Set by the platform, which counts from 0.5 s after a gateway learnt the
// limit.
constexpr seconds kContactTime(3);
constexpr seconds kLimitWindow(4);
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;
constexpr double kMinLimit = 2;
// Servers set their limits by what arrived within this time.
constexpr seconds kMeasuringTime(1);
// Fraction of the requests that must be served, by the first try or a repeated
// one, while their service has a server without a limit.
constexpr double kMinServedBesideLimits = 0.5;
// Callers that come back after a withdrawal do so within this time.
constexpr seconds kReturnTime(2);

}  // namespace

void Soak::ScheduleRateLimits() {
  if (this->faults_over) {
    return;
  }
  const bool engine = this->generator() % 2 == 0;
  const bool whole_service = this->generator() % 4 == 0;
  const base::Milliseconds time = this->RandomDuration(4000, 9000);
  std::vector<Server*> answering;
  for (const auto& server : this->servers) {
    if (server->engine == engine && !server->prefill) {
      answering.push_back(server.get());
    } else if (server->engine == engine) {
      this->LimitRate(*server, false, time);
    }
  }
  std::shuffle(answering.begin(), answering.end(), this->generator);
  if (!whole_service) {
    answering.resize(1 + this->generator() % (answering.size() - 1));
  }
  for (Server* server : answering) {
    this->LimitRate(*server, whole_service, time);
  }
  this->RunAfter(this->RandomDuration(3000, 10000),
                 [this] { this->ScheduleRateLimits(); });
}

double Soak::ArrivalsPerSecond(const Server& server) const {
  const base::Instant since = base::Now() - kMeasuringTime;
  const auto is_recent = [&](base::Instant at) { return at > since; };
  const Backend& backend = *server.backend;
  const auto requests = std::count_if(
      backend.arrivals.begin(), backend.arrivals.end(),
      [&](const BackendArrival& arrival) { return is_recent(arrival.at); });
  const auto calls = std::count_if(backend.control_calls.begin(),
                                   backend.control_calls.end(), is_recent);
  return static_cast<double>(requests + calls) /
         std::chrono::duration<double>(kMeasuringTime).count();
}

void Soak::LimitRate(Server& server,
                     bool whole_service,
                     base::Milliseconds time) {
  Backend& backend = *server.backend;
  if (!backend.rate_limit.empty()) {
    return;
  }
  // A window that the check counts reaches back before the naming, so a limit
  // far below what arrived until then couldn't be kept.
  const double part = static_cast<double>(30 + this->generator() % 40) / 100;
  const double per_second =
      std::max(kMinLimit, part * this->ArrivalsPerSecond(server));
  backend.rate_limit = std::to_string(per_second);
  this->LogEvent(backend.id() + " limits its requests to " +
                 backend.rate_limit + " for " + std::to_string(time.count()) +
                 " ms");
  const base::Instant now = base::Now();
  this->rate_limits.push_back(
      {&server, per_second, now, now + time, whole_service});
  this->RunAfter(time, [this, &backend] {
    this->LogEvent(backend.id() + " withdraws its limit");
    backend.rate_limit.clear();
  });
}

void Soak::ScheduleGatewayFaults() {
  static constexpr Disturbance kFaults[] = {
      &Soak::KillGateway, &Soak::StopGateway, &Soak::PauseGateway};
  if (this->faults_over) {
    return;
  }
  (this->*kFaults[this->generator() % std::size(kFaults)])();
  this->RunAfter(this->RandomDuration(500, 3000),
                 [this] { this->ScheduleGatewayFaults(); });
}

void Soak::CheckRateLimits() {
  for (const RateLimitTime& limit : this->rate_limits) {
    const Backend& backend = *limit.server->backend;
    std::vector<base::Instant> times = backend.control_calls;
    for (const BackendArrival& arrival : backend.arrivals) {
      times.push_back(arrival.at);
    }
    std::sort(times.begin(), times.end());
    const double window = std::chrono::duration<double>(kLimitWindow).count();
    const double allowed =
        kToleratedFactor * limit.per_second * window + kToleratedRequests;
    int64_t most = 0;
    for (auto last = times.begin(); last != times.end(); ++last) {
      if (*last >= limit.named + kContactTime && *last < limit.withdrawn) {
        const auto first =
            std::upper_bound(times.begin(), last, *last - kLimitWindow);
        most = std::max<int64_t>(most, last - first + 1);
      }
    }
    this->LogEvent(backend.id() + " got at most " + std::to_string(most) +
                   " requests in 4 s, " + std::to_string(allowed) +
                   " are allowed");
    if (static_cast<double>(most) > allowed) {
      this->AddComplaint(backend.id() + " with a limit of " +
                         std::to_string(limit.per_second) + " a second got " +
                         std::to_string(most) + " requests in 4 s, " +
                         std::to_string(allowed) + " are allowed");
    }
  }
}

void Soak::CheckServedBesideLimits() {
  if (this->rate_limits.empty()) {
    return;
  }
  const auto exempt = [this](const CallerCall& call) {
    const bool engine = call.type == RequestType::kStream ||
                        call.type == RequestType::kResumableStream;
    return std::any_of(this->rate_limits.begin(), this->rate_limits.end(),
                       [&](const RateLimitTime& limit) {
                         return limit.whole_service &&
                                limit.server->engine == engine &&
                                call.sent < limit.withdrawn + kReturnTime &&
                                call.ended >= limit.named;
                       });
  };
  std::set<std::string> served;
  for (const auto& call : this->callers->calls()) {
    if (call->complete && call->status == 200) {
      served.insert(call->repeats.empty() ? call->id : call->repeats);
    }
  }
  int64_t total = 0;
  int64_t served_of_total = 0;
  for (const auto& call : this->callers->calls()) {
    if (call->repeats.empty() && !exempt(*call)) {
      ++total;
      served_of_total += served.contains(call->id) ? 1 : 0;
    }
  }
  std::cout << this->rate_limits.size() << " limits; beside them "
            << served_of_total << " of " << total << " requests were served\n";
  if (static_cast<double>(served_of_total) <
      kMinServedBesideLimits * static_cast<double>(total)) {
    this->AddComplaint("beside limits " + std::to_string(served_of_total) +
                       " of " + std::to_string(total) +
                       " requests were served");
  }
}

}  // namespace carawayvalve::tests
