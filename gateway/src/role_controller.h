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

// Orders engines to change their role while this gateway holds the duties. An
// order names how many orders its engine has accepted before, so that one that
// is carried out late, after a newer one, has no effect.
class RoleController {
 public:
  explicit RoleController(Context& context);

  // Orders what is due. `grant` is the lease of the duties.
  void Tick(const core::LeaseGrant& grant);
  // The lease is lost: nothing that is under way may arrive any more.
  void Drop();

 private:
  void Consider(const core::RoleChange& change);
  void OnReport(const core::RoleChange& change,
                const TimedCall::Result& result);
  void SendOrder(const core::RoleChange& change, int64_t accepted_orders);
  void OnOrdered(const core::RoleChange& change,
                 const TimedCall::Result& result);
  bool UnderLoad() const;
  // Whether the engines have been the same for long enough to plan with.
  bool Settled(const std::vector<core::BackendEntry>& present,
               base::Instant now);

  Context& context;
  core::RoleSharePlanner shares;
  net::HttpClient engines;
  std::optional<core::LeaseGrant> grant;
  // The engines by service, and since when they are these.
  struct Known {
    size_t count = 0;
    base::Instant since;
  };
  std::map<base::ServiceId, Known> known;
  std::map<base::BackendServerId, std::shared_ptr<TimedCall>> calls;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ROLE_CONTROLLER_H_
