#ifndef CARAWAYVALVE_CORE_LEASE_H_
#define CARAWAYVALVE_CORE_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How far the rate of a host's monotonic clock may stray from true time, in
// parts per thousand. Leases and stamped orders are safe up to this drift.
inline constexpr int64_t kMaxClockDriftPerMille = 10;

// Returns how much earlier a holder stops, by its own clock, than a successor
// that has watched the lease for all of `term` by another clock may begin.
base::Duration DriftMargin(base::Duration term);

struct LeaseOptions {
  base::Duration term = std::chrono::seconds(10);
  // From the sending of one renewal to the next.
  base::Duration renew_interval = std::chrono::seconds(2);
  // How often a candidate reads a lease that another process holds.
  base::Duration poll_interval = std::chrono::seconds(2);
  // After a failed call; doubles with each further one, up to
  // `renew_interval`, and is drawn out differently for each holder.
  base::Duration retry_interval = std::chrono::milliseconds(250);
  // A call without an answer for so long counts as lost.
  base::Duration call_timeout = std::chrono::seconds(3);

  bool operator==(const LeaseOptions&) const = default;
};

// The stored form of a lease. The object must never be deleted, since its
// epoch would begin anew.
struct LeaseRecord {
  // Names one run of a process, so that a restarted one is a new holder. Empty
  // when the last holder released the lease.
  base::BootId holder;
  // The fencing token: rises by one with each change of holder.
  int64_t epoch = 0;
  // Tells the writes of one holder apart.
  int64_t nonce = 0;
  int64_t term_ms = 0;

  bool operator==(const LeaseRecord&) const = default;
};

// The JSON form of a record.
std::string PrintLeaseRecord(const LeaseRecord& record);
// Throws base::Error when `text` isn't a record.
LeaseRecord ParseLeaseRecord(const std::string& text);

// What holding a lease permits, by the holder's own clock.
struct LeaseGrant {
  int64_t epoch = 0;
  // When the last successful write of the lease was sent.
  base::Instant renewal_sent;
  // The grant ends before this instant.
  base::Instant valid_until;
  base::Duration term{};

  bool operator==(const LeaseGrant&) const = default;
};

// Time passes. A holder renews in any case.
struct LeaseTick {
  // How much longer than others this process waits before it takes a lease
  // that is free or has lapsed; nothing if it is no candidate.
  std::optional<base::Duration> takeover_delay;
};

// The answer to a read; `record` is empty when the object is absent.
struct LeaseReadAnswer {
  int64_t call = 0;
  std::optional<LeaseRecord> record;
  int64_t version = 0;
};

struct LeaseWriteDone {
  int64_t call = 0;
  int64_t version = 0;
};

// The object had another version than the write asked for.
struct LeaseWriteRefused {
  int64_t call = 0;
};

// It isn't record_current whether the write took, or will yet take, effect.
struct LeaseWriteLost {
  int64_t call = 0;
};

// The store gave no answer to a read, or certainly didn't get a write.
struct LeaseStoreError {
  int64_t call = 0;
};

// A planned stop: gives the lease up for good. The caller first settles what
// it has ordered under the lease.
struct ReleaseLease {};

using LeaseEvent = std::variant<LeaseTick,
                                LeaseReadAnswer,
                                LeaseWriteDone,
                                LeaseWriteRefused,
                                LeaseWriteLost,
                                LeaseStoreError,
                                ReleaseLease>;

// Answered by LeaseReadAnswer or LeaseStoreError with the same call.
struct ReadLease {
  int64_t call = 0;
};

// Answered by LeaseWriteDone, LeaseWriteRefused, LeaseWriteLost or
// LeaseStoreError with the same call.
struct WriteLease {
  int64_t call = 0;
  LeaseRecord record;
  // The version that the object must have, 0 for absent.
  int64_t if_version = 0;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

// One duty's lease as one process sees it. Of all processes that share the
// object, two never hold the lease at the same true time, as long as clocks
// drift by kMaxClockDriftPerMille at the most: a grant is counted from before
// the write that gave it was sent, and a successor writes on condition of a
// version that it has record_current for a full term. Reads may be stale.
class Lease {
 public:
  // `self` must be unique to this object, also among restarts of the process.
  Lease(const LeaseOptions& options, const base::BootId& self);

  // Returns the calls to make now; there is never more than one under way.
  std::vector<LeaseAction> Step(const LeaseEvent& event, base::Instant now);

  bool Holds(base::Instant now) const { return this->Grant(now).has_value(); }

  // Returns what this process may do now, nothing when it isn't the holder.
  std::optional<LeaseGrant> Grant(base::Instant now) const;

  // The epoch of the grant that was last given, 0 before the first.
  int64_t epoch() const { return this->grant.epoch; }
  // When that grant ends or ended.
  base::Instant valid_until() const { return this->grant.valid_until; }
  // A release has ended: nothing more will be written.
  bool released() const { return this->release_done; }
  // The record last seen, for status pages.
  const LeaseRecord& last_seen() const { return this->record; }

 private:
  using Actions = std::vector<LeaseAction>;

  // A write whose effect isn't record_current yet; it may take effect at any
  // time.
  struct PendingWrite {
    LeaseRecord record;
    base::Instant sent;
  };
  struct InFlightCall {
    int64_t call = 0;
    base::Instant sent;
    std::optional<LeaseRecord> written;
  };

  void On(const LeaseTick& event, base::Instant now);
  void On(const LeaseReadAnswer& event, base::Instant now);
  void On(const LeaseWriteDone& event, base::Instant now);
  void On(const LeaseWriteRefused& event, base::Instant now);
  void On(const LeaseWriteLost& event, base::Instant now);
  void On(const LeaseStoreError& event, base::Instant now);
  void On(const ReleaseLease& event, base::Instant now);

  // Ends the call under way if it is this one.
  bool EndCall(int64_t call);
  void ApplyRecord(const LeaseRecord& seen, int64_t version, base::Instant now);
  void Confirm(const PendingWrite& write);
  void ScheduleRetry(base::Instant now);
  Actions NextCall(base::Instant now);
  Actions Read(base::Instant now);
  Actions Write(const base::BootId& holder, int64_t epoch, base::Instant now);
  bool RecordIsOwn() const { return this->record.holder == this->self; }
  bool MayAcquire(base::Instant now) const;

  LeaseOptions options;
  base::BootId self;
  std::optional<base::Duration> takeover_delay;
  bool releasing = false;
  bool release_done = false;

  // The object as last seen; `record` is empty when it was absent. After a
  // failed or refused call it is no longer `record_current`, and is read again.
  bool record_current = false;
  bool record_ever_read = false;
  LeaseRecord record;
  int64_t version = 0;
  // When this version was first seen.
  base::Instant version_seen_at;
  base::Instant read_at;

  std::vector<PendingWrite> pending;
  std::optional<InFlightCall> call_in_flight;
  int64_t last_call = 0;
  int64_t last_nonce = 0;
  int32_t failures = 0;
  base::Instant retry_at;
  base::Instant renew_at;
  LeaseGrant grant;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_LEASE_H_
