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

// The maximum deviation of a host's monotonic clock rate from true time, in
// parts per thousand. Leases and stamped orders are safe up to this drift.
inline constexpr int64_t kMaxClockDriftPerMille = 10;

// Returns the safety margin for clock drift over `term`: a holder stops this
// much earlier, by its own clock, than a successor whose clock has measured all
// of `term` may start.
base::Duration DriftMargin(base::Duration term);

struct LeaseOptions {
  base::Duration term = std::chrono::seconds(10);
  // The time between the sending of two renewals.
  base::Duration renew_interval = std::chrono::seconds(2);
  // How often a candidate reads a lease that another process holds.
  base::Duration poll_interval = std::chrono::seconds(2);
  // The initial backoff after a failed call. It doubles with each further
  // failure, up to `renew_interval`, with jitter that differs between holders.
  base::Duration retry_interval = std::chrono::milliseconds(250);
  // A call without an answer for this long is treated as lost.
  base::Duration call_timeout = std::chrono::seconds(3);

  bool operator==(const LeaseOptions&) const = default;
};

// The stored record of a lease.
struct LeaseRecord {
  // Identifies one run of a process, so that a restarted process is a new
  // holder. Empty when the last holder released the lease.
  base::BootId holder;
  // The fencing token. It rises with each change of holder, also over a store
  // that comes back from an older copy.
  int64_t epoch = 0;
  // Distinguishes the writes of one holder.
  int64_t nonce = 0;
  int64_t term_ms = 0;
  // The store's era as known to the writer, 0 if the store doesn't say it.
  int64_t era = 0;

  bool operator==(const LeaseRecord&) const = default;
};

// Returns the record as JSON.
std::string PrintLeaseRecord(const LeaseRecord& record);
// Parses the JSON of a record. Throws base::Error when `text` isn't one.
LeaseRecord ParseLeaseRecord(const std::string& text);

// The authority that the lease gives its holder, by the holder's own clock.
struct LeaseGrant {
  int64_t epoch = 0;
  // When the last successful write of the lease was sent.
  base::Instant renewal_sent;
  // The grant is valid before this instant.
  base::Instant valid_until;
  base::Duration term{};

  bool operator==(const LeaseGrant&) const = default;
};

// A periodic tick. A holder renews the lease regardless of `takeover_delay`.
struct LeaseTick {
  // How long this process waits before it takes a lease that is free or has
  // expired, beyond the minimum wait. Empty if it isn't a candidate.
  std::optional<base::Duration> takeover_delay;
};

// The era of the store has been learnt other than from an answer for the lease.
// It rises each time that the store comes back from an older copy.
struct StoreEraKnown {
  int64_t era = 0;
};

// The answer to a read. `record` is empty when the object is absent. Here and
// below, `era` is the store's at its answer, 0 if the store doesn't say it.
struct LeaseReadAnswer {
  int64_t call = 0;
  std::optional<LeaseRecord> record;
  int64_t version = 0;
  int64_t era = 0;
};

struct LeaseWriteDone {
  int64_t call = 0;
  int64_t version = 0;
  int64_t era = 0;
};

// The object didn't have the version that the write required.
struct LeaseWriteConflict {
  int64_t call = 0;
  int64_t era = 0;
};

// The effect of the write is unknown; it may also take effect later.
struct LeaseWriteUncertain {
  int64_t call = 0;
};

// The store gave no answer to a read, or certainly didn't receive a write.
struct LeaseStoreError {
  int64_t call = 0;
};

// A planned stop: releases the lease permanently. The caller must first wait
// until no order that it sent under the lease can still take effect.
struct ReleaseLease {};

using LeaseEvent = std::variant<LeaseTick,
                                StoreEraKnown,
                                LeaseReadAnswer,
                                LeaseWriteDone,
                                LeaseWriteConflict,
                                LeaseWriteUncertain,
                                LeaseStoreError,
                                ReleaseLease>;

// Answered by LeaseReadAnswer or LeaseStoreError with the same `call`.
struct ReadLease {
  int64_t call = 0;
};

// Answered by LeaseWriteDone, LeaseWriteConflict, LeaseWriteUncertain or
// LeaseStoreError with the same `call`.
struct WriteLease {
  int64_t call = 0;
  LeaseRecord record;
  // The version that the object must have for the write to succeed, 0 if it
  // must be absent.
  int64_t if_version = 0;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

// One process's view of one duty's lease. No two processes that share the
// object hold the lease at the same true time, as long as clocks drift by at
// most kMaxClockDriftPerMille: a grant counts from before the write that gave
// it was sent, and a successor's write is conditional on a version that it has
// seen unchanged for a full term. Reads may be stale.
//
// Of a store that has come back from an older copy nothing is believed that was
// written in an earlier era: a grant ends when its holder learns of the new
// era, and nobody acquires the lease before a full term of the new era, after
// which a holder that doesn't know of it has stopped by its own clock.
class Lease {
 public:
  // `self` must be unique among all processes that use this lease object,
  // including earlier runs of the same process.
  Lease(const LeaseOptions& options, const base::BootId& self);

  // Returns the calls to make now. At most one call is in flight at a time.
  std::vector<LeaseAction> Step(const LeaseEvent& event, base::Instant now);

  bool Holds(base::Instant now) const { return this->Grant(now).has_value(); }

  // Returns the current grant, or nullopt when this process isn't the holder.
  std::optional<LeaseGrant> Grant(base::Instant now) const;

  // The epoch of the last grant, 0 before the first one.
  int64_t epoch() const { return this->grant.epoch; }
  // When the last grant expires or expired.
  base::Instant valid_until() const { return this->grant.valid_until; }
  // Whether a release is complete; nothing more is written after that.
  bool released() const { return this->release_done; }
  // The last record that was read or written, for status pages.
  const LeaseRecord& last_seen() const { return this->record; }

 private:
  using Actions = std::vector<LeaseAction>;

  // A write whose effect isn't known yet. It may take effect at any time.
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
  void On(const StoreEraKnown& event, base::Instant now);
  void On(const LeaseReadAnswer& event, base::Instant now);
  void On(const LeaseWriteDone& event, base::Instant now);
  void On(const LeaseWriteConflict& event, base::Instant now);
  void On(const LeaseWriteUncertain& event, base::Instant now);
  void On(const LeaseStoreError& event, base::Instant now);
  void On(const ReleaseLease& event, base::Instant now);

  // Clears the call in flight and returns true if its number is `call`.
  bool EndCall(int64_t call);
  // Returns whether an answer of this era tells the state of the store; 0 is
  // any era.
  bool IsCurrent(int64_t answered_era) const {
    return answered_era == 0 || answered_era == this->era;
  }
  // Forgets all that rests on the store if its era has risen.
  void NoteEra(int64_t known_era, base::Instant now);
  // Returns whether the record was written in this era.
  bool RecordIsOfEra() const {
    return this->era == 0 || this->record.era == this->era;
  }
  void ApplyRecord(const LeaseRecord& seen, int64_t version, base::Instant now);
  void Confirm(const PendingWrite& write);
  void ScheduleRetry(base::Instant now);
  Actions NextCall(base::Instant now);
  Actions Read(base::Instant now);
  Actions Write(const base::BootId& holder, int64_t epoch, base::Instant now);
  bool RecordIsOwn() const {
    return this->record.holder == this->self && this->RecordIsOfEra();
  }
  // Returns the epoch of the next holder.
  int64_t NextEpoch() const;
  bool MayAcquire(base::Instant now) const;

  LeaseOptions options;
  base::BootId self;
  std::optional<base::Duration> takeover_delay;
  bool releasing = false;
  bool release_done = false;
  // The store's highest known era, 0 if it doesn't say it.
  int64_t era = 0;
  // The highest epoch seen in any era.
  int64_t highest_epoch = 0;

  // The last seen state of the object; `record` is empty when it was absent.
  // After a failed or refused call it is no longer `record_current`, and is
  // read again.
  bool record_current = false;
  bool record_ever_read = false;
  LeaseRecord record;
  int64_t version = 0;
  // When `version` was first seen.
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
