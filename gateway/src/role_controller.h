#ifndef CARAWAYVALVE_GATEWAY_SRC_ROLE_CONTROLLER_H_
#define CARAWAYVALVE_GATEWAY_SRC_ROLE_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/role_share_planner.h"
#include "context.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

// Orders engines to change their role while this gateway holds the lease of the
// duties. An order contains the number of orders that its engine has accepted
// before, so that an order that arrives after a newer one has no effect.
class RoleController {
 public:
  explicit RoleController(Context& context);

  // Sends the orders that are due. `grant` is the grant of the duties' lease.
  void Tick(const core::LeaseGrant& grant);
  // Cancels all calls in flight after the lease was lost, since none of them
  // may arrive any more.
  void CancelAll();

 private:
  void RequestReport(const core::RoleChange& change);
  void OnReport(const core::RoleChange& change,
                const TimedCall::Result& result);
  // Applies what the head of an engine's answer to a call of this kind says of
  // that engine.
  void NoteHead(const core::RoleChange& change,
                const char* kind,
                const TimedCall::Result& result,
                base::Instant sent);
  void SendOrder(const core::RoleChange& change, int64_t accepted_orders);
  void OnOrdered(const core::RoleChange& change,
                 const TimedCall::Result& result);
  bool UnderLoad() const;
  // Returns whether the number of a service's engines has been unchanged for
  // long enough to plan roles.
  bool HasSettled(const std::vector<core::BackendEntry>& service_engines,
                  base::Instant now);

  Context& context;
  core::RoleSharePlanner planner;
  net::HttpClient engines;
  std::optional<core::LeaseGrant> grant;
  base::Instant next_plan;
  // The number of a service's engines, and since when it is unchanged.
  struct EngineCount {
    size_t count = 0;
    base::Instant since;
  };
  std::map<base::ServiceId, EngineCount> engine_counts;
  std::map<base::BackendServerId, std::shared_ptr<TimedCall>> calls;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ROLE_CONTROLLER_H_
