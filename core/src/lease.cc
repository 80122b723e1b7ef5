#include "carawayvalve/core/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr int64_t kPerMille = 1000;
// Doublings of the retry interval that are still counted.
constexpr int32_t kMaxDoublings = 6;
// A write is remembered for this many options; later it can't give a grant.
constexpr int32_t kPendingTerms = 2;

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
                      {"term_ms", record.term_ms}};
  return value.dump();
}

LeaseRecord ParseLeaseRecord(const std::string& text) {
  try {
    const json value = json::parse(text);
    LeaseRecord record;
    record.holder.value = value.at("holder").get<std::string>();
    record.epoch = value.at("epoch").get<int64_t>();
    record.nonce = value.at("nonce").get<int64_t>();
    record.term_ms = value.at("term_ms").get<int64_t>();
    return record;
  } catch (const json::exception& error) {
    throw base::Error("read lease", "Object API", error.what());
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
  const bool timed_out = this->under_way && now - this->under_way->sent >=
                                                this->options.call_timeout;
  if (timed_out) {
    this->under_way.reset();
    this->Fail(now);
  }
}

void Lease::On(const LeaseReadAnswer& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return;
  }
  this->read_at = now;
  this->Learn(event.record.value_or(LeaseRecord()), event.version, now);
}

void Lease::On(const LeaseWriteDone& event, base::Instant now) {
  const std::optional<CallUnderWay> call = this->under_way;
  if (this->EndCall(event.call) && call->written) {
    this->Learn(*call->written, event.version, now);
  }
}

void Lease::On(const LeaseWriteRefused& event, base::Instant) {
  if (this->EndCall(event.call)) {
    this->known = false;
  }
}

void Lease::On(const LeaseWriteLost& event, base::Instant now) {
  if (this->EndCall(event.call)) {
    this->Fail(now);
  }
}

void Lease::On(const LeaseStoreError& event, base::Instant now) {
  if (this->EndCall(event.call)) {
    this->Fail(now);
  }
}

void Lease::On(const ReleaseLease&, base::Instant) {
  this->releasing = true;
}

bool Lease::EndCall(int64_t call) {
  // Answers of calls that were given up come too late: their effect is seen
  // when the object is read back.
  if (!this->under_way || this->under_way->call != call) {
    return false;
  }
  this->under_way.reset();
  return true;
}

void Lease::Learn(const LeaseRecord& seen,
                  int64_t seen_version,
                  base::Instant now) {
  this->failures = 0;
  if (!this->ever_known || seen_version != this->version) {
    this->seen_at = now;
  }
  this->ever_known = true;
  this->known = true;
  this->record = seen;
  if (!this->IsOwn()) {
    this->grant.valid_until = std::min(this->grant.valid_until, now);
  }
  for (const PendingWrite& write : this->pending) {
    if (write.record == seen && this->IsOwn()) {
      this->Confirm(write);
    }
  }
  // Pending writes asked for the version that this one replaced.
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

void Lease::Fail(base::Instant now) {
  this->known = false;
  const int32_t doublings = std::min(this->failures, kMaxDoublings);
  const base::Duration wait =
      std::min(this->options.retry_interval * (1 << doublings),
               this->options.renew_interval);
  this->failures += 1;
  this->retry_at =
      now + Jitter(wait, this->self.value + std::to_string(this->last_call));
}

std::vector<LeaseAction> Lease::NextCall(base::Instant now) {
  if (this->release_done || this->under_way || now < this->retry_at) {
    return {};
  }
  const bool concerned = this->IsOwn() || !this->pending.empty();
  if (this->releasing && !concerned) {
    this->release_done = true;
    return {};
  }
  if (!this->known) {
    return concerned || this->takeover_delay ? this->Read(now) : Actions();
  }
  if (this->IsOwn()) {
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
  if (this->MayTake(now)) {
    return this->Write(this->self, this->record.epoch + 1, now);
  }
  const bool poll =
      this->takeover_delay && now - this->read_at >= this->options.poll_interval;
  return poll ? this->Read(now) : Actions();
}

std::vector<LeaseAction> Lease::Read(base::Instant now) {
  this->last_call += 1;
  this->under_way = CallUnderWay{this->last_call, now, std::nullopt};
  return {ReadLease{this->last_call}};
}

std::vector<LeaseAction> Lease::Write(const base::BootId& holder,
                                      int64_t epoch,
                                      base::Instant now) {
  std::erase_if(this->pending, [&](const PendingWrite& write) {
    return now - write.sent > this->options.term * kPendingTerms;
  });
  this->last_call += 1;
  this->last_nonce += 1;
  const LeaseRecord written{holder, epoch, this->last_nonce,
                            base::ToMilliseconds(this->options.term)};
  this->pending.push_back({written, now});
  this->under_way = CallUnderWay{this->last_call, now, written};
  return {WriteLease{this->last_call, written, this->version}};
}

bool Lease::MayTake(base::Instant now) const {
  if (!this->takeover_delay) {
    return false;
  }
  base::Duration wait = *this->takeover_delay;
  if (!this->record.holder.empty()) {
    wait += std::max<base::Duration>(this->options.term,
                                     base::Milliseconds(this->record.term_ms));
  }
  return now - this->seen_at >= wait;
}

}  // namespace carawayvalve::core
