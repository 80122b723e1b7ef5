#include "carawayvalve/core/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/store_revision.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr const char* kStep = "read lease";
constexpr const char* kPeer = "Object API";
constexpr int64_t kPerMille = 1000;
// Bounds the exponent of the retry backoff.
constexpr int32_t kMaxRetryDoublings = 6;
// A pending write is kept for this many lease terms; after that its grant would
// have expired.
constexpr int32_t kPendingWriteTerms = 2;
// The epochs of an era are above those of earlier eras if fewer revisions than
// this are lost when the store comes back from a copy.
constexpr int64_t kEpochsPerEra = 1'000'000'000;

// Scales `wait` to between half and all of it, by the hash of `key`.
base::Duration Jitter(base::Duration wait, const std::string& key) {
  const auto share = static_cast<int64_t>(base::StableHash(key) % kPerMille);
  return wait / 2 + wait / 2 * share / kPerMille;
}

}  // namespace

base::Duration DriftMargin(base::Duration term) {
  return term * 2 * kMaxClockDriftPerMille / kPerMille + base::Duration(1);
}

std::string PrintLeaseRecord(const LeaseRecord& record) {
  const json value = {{"holder", record.holder.value},
                      {"epoch", record.epoch},
                      {"nonce", record.nonce},
                      {"term_ms", record.term_ms},
                      {"era", record.era}};
  return value.dump();
}

LeaseRecord ParseLeaseRecord(const std::string& text) {
  try {
    const json value = ParseStoredJson(kStep, kPeer, text);
    LeaseRecord record;
    record.holder.value = value.at("holder").get<std::string>();
    record.epoch = value.at("epoch").get<int64_t>();
    record.nonce = value.at("nonce").get<int64_t>();
    record.term_ms = value.at("term_ms").get<int64_t>();
    record.era = value.value("era", int64_t{0});
    return record;
  } catch (const json::exception& error) {
    throw base::Error(kStep, kPeer, error.what());
  }
}

Lease::Lease(const LeaseOptions& options, const base::BootId& self)
    : options(options), self(self) {}

std::vector<LeaseAction> Lease::Step(const LeaseEvent& event,
                                     base::Instant now) {
  std::visit([&](const auto& kind) { this->On(kind, now); }, event);
  return this->NextCall(now);
}

std::optional<LeaseGrant> Lease::Grant(base::Instant now) const {
  if (this->releasing || this->grant.epoch == 0 ||
      now >= this->grant.valid_until) {
    return std::nullopt;
  }
  return this->grant;
}

void Lease::On(const LeaseTick& event, base::Instant now) {
  this->takeover_delay = event.takeover_delay;
  const bool timed_out =
      this->call_in_flight &&
      now - this->call_in_flight->sent >= this->options.call_timeout;
  if (timed_out) {
    this->call_in_flight.reset();
    this->ScheduleRetry(now);
  }
}

void Lease::On(const StoreEraKnown& event, base::Instant now) {
  this->NoteEra(event.era, now);
}

void Lease::On(const LeaseReadAnswer& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return;
  }
  this->NoteEra(event.era, now);
  if (!this->IsCurrent(event.era)) {
    this->ScheduleRetry(now);
    return;
  }
  this->read_at = now;
  this->ApplyRecord(event.record.value_or(LeaseRecord()), event.version, now);
}

void Lease::On(const LeaseWriteDone& event, base::Instant now) {
  const std::optional<InFlightCall> call = this->call_in_flight;
  if (!this->EndCall(event.call) || !call->written) {
    return;
  }
  // A record that was written in a later era than it names gives no grant.
  this->NoteEra(event.era, now);
  if (this->IsCurrent(event.era)) {
    this->ApplyRecord(*call->written, event.version, now);
  } else {
    this->ScheduleRetry(now);
  }
}

void Lease::On(const LeaseWriteConflict& event, base::Instant now) {
  if (this->EndCall(event.call)) {
    this->NoteEra(event.era, now);
    this->record_current = false;
  }
}

void Lease::On(const LeaseWriteUncertain& event, base::Instant now) {
  if (this->EndCall(event.call)) {
    this->ScheduleRetry(now);
  }
}

void Lease::On(const LeaseStoreError& event, base::Instant now) {
  if (this->EndCall(event.call)) {
    this->ScheduleRetry(now);
  }
}

void Lease::On(const ReleaseLease&, base::Instant) {
  this->releasing = true;
}

bool Lease::EndCall(int64_t call) {
  // An answer to a timed-out call is ignored: its effect is seen when the
  // object is read back.
  if (!this->call_in_flight || this->call_in_flight->call != call) {
    return false;
  }
  this->call_in_flight.reset();
  return true;
}

void Lease::NoteEra(int64_t known_era, base::Instant now) {
  if (known_era <= this->era || known_era > kMaxStoreEra) {
    return;
  }
  this->era = known_era;
  this->grant.valid_until = std::min(this->grant.valid_until, now);
  this->record = {};
  this->version = 0;
  this->record_ever_read = false;
  this->record_current = false;
  this->pending.clear();
  this->call_in_flight.reset();
}

// Within an era the version differs for each successful write, so that an epoch
// is unique even if a write of an earlier era arrives late and hides the
// record of a later holder.
int64_t Lease::NextEpoch() const {
  const int64_t first_of_version =
      this->era == 0 ? 0 : this->era * kEpochsPerEra + this->version;
  return std::max({this->record.epoch, this->highest_epoch, first_of_version}) +
         1;
}

void Lease::ApplyRecord(const LeaseRecord& seen,
                        int64_t seen_version,
                        base::Instant now) {
  this->failures = 0;
  if (!this->record_ever_read || seen_version != this->version) {
    this->version_seen_at = now;
  }
  this->record_ever_read = true;
  this->record_current = true;
  this->record = seen;
  this->highest_epoch = std::max(this->highest_epoch, seen.epoch);
  if (!this->RecordIsOwn()) {
    this->grant.valid_until = std::min(this->grant.valid_until, now);
  }
  for (const PendingWrite& write : this->pending) {
    if (write.record == seen && this->RecordIsOwn()) {
      this->Confirm(write);
    }
  }
  // Any other pending write required the version that was replaced, so it
  // fails.
  if (seen_version != this->version) {
    this->pending.clear();
  }
  this->version = seen_version;
}

void Lease::Confirm(const PendingWrite& write) {
  const auto term = base::Milliseconds(write.record.term_ms);
  this->grant.epoch = write.record.epoch;
  this->grant.renewal_sent = write.sent;
  this->grant.valid_until = write.sent + term - DriftMargin(term);
  this->grant.term = term;
  this->renew_at = write.sent + this->options.renew_interval;
}

void Lease::ScheduleRetry(base::Instant now) {
  this->record_current = false;
  const int32_t doublings = std::min(this->failures, kMaxRetryDoublings);
  const base::Duration wait =
      std::min(this->options.retry_interval * (1 << doublings),
               this->options.renew_interval);
  this->failures += 1;
  this->retry_at =
      now + Jitter(wait, this->self.value + std::to_string(this->last_call));
}

std::vector<LeaseAction> Lease::NextCall(base::Instant now) {
  if (this->release_done || this->call_in_flight || now < this->retry_at) {
    return {};
  }
  const bool may_be_holder = this->RecordIsOwn() || !this->pending.empty();
  if (this->releasing && !may_be_holder) {
    this->release_done = true;
    return {};
  }
  if (!this->record_current) {
    return may_be_holder || this->takeover_delay ? this->Read(now) : Actions();
  }
  if (this->RecordIsOwn()) {
    if (this->releasing) {
      return this->Write({}, this->record.epoch, now);
    }
    return now >= this->renew_at
               ? this->Write(this->self, this->record.epoch, now)
               : Actions();
  }
  if (this->releasing) {
    this->release_done = true;
    return {};
  }
  if (this->MayAcquire(now)) {
    return this->Write(this->self, this->NextEpoch(), now);
  }
  const bool poll = this->takeover_delay &&
                    now - this->read_at >= this->options.poll_interval;
  return poll ? this->Read(now) : Actions();
}

std::vector<LeaseAction> Lease::Read(base::Instant now) {
  this->last_call += 1;
  this->call_in_flight = InFlightCall{this->last_call, now, std::nullopt};
  return {ReadLease{this->last_call}};
}

std::vector<LeaseAction> Lease::Write(const base::BootId& holder,
                                      int64_t epoch,
                                      base::Instant now) {
  std::erase_if(this->pending, [&](const PendingWrite& write) {
    return now - write.sent > this->options.term * kPendingWriteTerms;
  });
  this->last_call += 1;
  this->last_nonce += 1;
  const LeaseRecord written{holder, epoch, this->last_nonce,
                            base::ToMilliseconds(this->options.term),
                            this->era};
  this->pending.push_back({written, now});
  this->call_in_flight = InFlightCall{this->last_call, now, written};
  return {WriteLease{this->last_call, written, this->version}};
}

bool Lease::MayAcquire(base::Instant now) const {
  if (!this->takeover_delay) {
    return false;
  }
  base::Duration wait = *this->takeover_delay;
  // In an earlier era another process may have held the lease, whatever the
  // copy shows.
  if (!this->record.holder.empty() || !this->RecordIsOfEra()) {
    wait += std::max<base::Duration>(this->options.term,
                                     base::Milliseconds(this->record.term_ms));
  }
  return now - this->version_seen_at >= wait;
}

}  // namespace carawayvalve::core
