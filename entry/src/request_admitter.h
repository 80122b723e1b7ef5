#ifndef CARAWAYVALVE_ENTRY_SRC_REQUEST_ADMITTER_H_
#define CARAWAYVALVE_ENTRY_SRC_REQUEST_ADMITTER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/client_key_index.h"
#include "carawayvalve/core/route_table.h"
#include "carawayvalve/core/stop_schedule.h"
#include "claim_service.h"
#include "dispatcher.h"
#include "entry_metrics.h"
#include "exchange.h"
#include "http_mapping.h"
#include "traffic_control.h"

namespace carawayvalve::entry {

// The configuration in force, with its routes and keys indexed for lookup.
struct ActiveConfiguration {
  explicit ActiveConfiguration(
      const std::shared_ptr<const config::Configuration>& from)
      : configuration(from), routes(from->declaration), keys(*from) {}

  std::shared_ptr<const config::Configuration> configuration;
  core::RouteTable routes;
  core::ClientKeyIndex keys;
};

// Authenticates, routes and admits callers' requests, and passes each to the
// dispatcher or refuses it. Thread-safe.
class RequestAdmitter {
 public:
  // Called for each request with a key. While it returns false, requests with
  // keys are refused, since a withdrawal might have been missed.
  using IsFresh = std::function<bool()>;

  // All references must outlive the admitter.
  RequestAdmitter(Dispatcher& dispatcher,
                  TrafficControl& control,
                  ClaimService& claims,
                  EntryMetrics& metrics,
                  IsFresh is_fresh);

  // Puts a configuration in force. Refuses requests that haven't started and
  // whose key it no longer has.
  void Activate(
      const std::shared_ptr<const config::Configuration>& configuration);
  // Refuses requests that might not end before this process does, which was
  // told to stop (see core::StopSchedule).
  void BeginStop(base::Duration balancer_delay, base::Duration time_to_end);
  // Returns null before the first configuration.
  std::shared_ptr<const ActiveConfiguration> Active() const;

  // Starts the request, or answers the caller with a problem.
  void Handle(const CallerRequest& request,
              const std::shared_ptr<Exchange>& exchange);

 private:
  struct Caller {
    base::ClientAccountId client_account;
    std::string key_sha256;
  };
  using CallerOrProblem = std::variant<Caller, Problem>;

  std::variant<AdmittedRequest, Problem> Admit(
      const ActiveConfiguration& active,
      const base::RequestId& id,
      const CallerRequest& request,
      const std::shared_ptr<Exchange>& exchange) const;
  std::variant<AdmittedRequest, Problem> AdmitCompletion(
      const ActiveConfiguration& active,
      const base::RequestId& id,
      const CallerRequest& request,
      const std::shared_ptr<Exchange>& exchange) const;
  std::variant<AdmittedRequest, Problem> AdmitPlain(
      const ActiveConfiguration& active,
      const base::RequestId& id,
      const CallerRequest& request,
      const std::shared_ptr<Exchange>& exchange) const;
  // Looks up the account of the request's key.
  CallerOrProblem Identify(const ActiveConfiguration& active,
                           const CallerRequest& request) const;

  // Counts the request against its account's limits; returns a problem if it
  // may not run.
  std::optional<Problem> CheckLimits(const AdmittedRequest& request) const;
  // Returns when the last answer must be given as the process stops.
  base::Instant AnswerBy() const;
  // Returns a problem if this process may end before the request does.
  std::optional<Problem> CheckStop(const AdmittedRequest& request) const;
  // Starts the admitted request, or returns a problem.
  std::optional<Problem> Begin(const CallerRequest& request,
                               AdmittedRequest& admitted);

  Dispatcher& dispatcher;
  TrafficControl& control;
  ClaimService& claims;
  EntryMetrics& metrics;
  IsFresh is_fresh;
  mutable std::mutex mutex;
  std::shared_ptr<const ActiveConfiguration> active_configuration;
  core::StopSchedule stop;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_REQUEST_ADMITTER_H_
