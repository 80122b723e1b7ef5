#ifndef CARAWAYVALVE_GATEWAY_SRC_DUTY_HOLDER_H_
#define CARAWAYVALVE_GATEWAY_SRC_DUTY_HOLDER_H_

#include <map>
#include <memory>
#include <vector>

#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/window_reporter.h"
#include "carawayvalve/platform/duty_calls.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "recent_store.h"
#include "role_controller.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

// Competes for the lease under which one gateway at a time calls the platform.
// While this gateway holds the lease, it reports the usage of all gateways and
// controls the engines' roles.
class DutyHolder {
 public:
  DutyHolder(Context& context,
             platform::ObjectClient& objects,
             RecentStore& recent);

  // Advances the lease and the work under it; must be called several times a
  // second. `live` are the gateways that may take the lease.
  void Tick(const std::vector<base::HostId>& live);
  // Must be called as soon as the store is known to be of a later era: what
  // this gateway does under a lease of an earlier one ends.
  void NoteStoreEra(int64_t era);
  // Returns whether this gateway holds the lease.
  bool holds(base::Instant now) const { return this->lease.Holds(now); }
  // Returns the epoch of the lease, which is its fencing token.
  int64_t epoch() const { return this->lease.epoch(); }
  // Returns the number of windows that were reported.
  int64_t reported() const { return this->reports.reported(); }

 private:
  void StepLease(const core::LeaseEvent& event);
  void Perform(const core::ReadLease& action);
  void Perform(const core::WriteLease& action);
  void OnLeaseRead(int64_t call, const platform::ReadResult& result);
  void OnLeaseWritten(int64_t call, const platform::WriteResult& result);
  void UpdateHolding(base::Instant now);
  // Returns whether the counts of gateways that are gone are known, as far as
  // they can be; reads them if not.
  bool HasStoredCounts(base::Instant now);
  // Returns whether it is known since when the seals in the store are complete;
  // finds it out if not.
  bool KnowsSeals();
  void OnEraMarked(int64_t era,
                   base::Duration known_since,
                   const platform::WriteResult& result);
  void Perform(const core::StoreSeal& action);
  void Perform(const core::SendReport& action);
  void OnSealed(const core::StoreSeal& action,
                const platform::WriteResult& result);
  void OnReported(int64_t window, const TimedCall::Result& result);
  void StepReports(const core::ReportEvent& event);

  Context& context;
  platform::ObjectClient& objects;
  RecentStore& recent;
  bool reads_counts = false;
  bool has_read_counts = false;
  base::Instant started;
  core::Lease lease;
  platform::ObjectClient::Handle lease_call;
  bool was_holder = false;

  // When the store's present era was learnt.
  base::Instant era_known_at;
  // The era since whose beginning the reporter knows the seals.
  int64_t sealing_era = 0;
  platform::ObjectClient::Handle mark_call;

  core::WindowReporter reports;
  net::HttpClient platform_client;
  std::map<int64_t, platform::ObjectClient::Handle> seal_calls;
  std::map<int64_t, std::shared_ptr<TimedCall>> report_calls;
  RoleController roles;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_DUTY_HOLDER_H_
