#include "duty_runner.h"

#include <utility>

#include "carawayvalve/base/error.h"

namespace carawayvalve::entry {

namespace {

constexpr char kLeaseKind[] = "lease";
constexpr base::Milliseconds kTick{100};
// A planned stop gives up on releasing the lease after so many ticks; the
// lease then lapses by itself.
constexpr int kMostReleaseTicks = 20;

}  // namespace

DutyRunner::DutyRunner(const Options& options,
                       const systems::ObjectApi& store,
                       Task work)
    : options(options),
      store(store),
      work(std::move(work)),
      log("duty"),
      lease(options.terms, options.self) {
  this->lease_thread = std::thread([this] { this->RunLease(); });
  this->work_thread = std::thread([this] { this->RunWork(); });
}

DutyRunner::~DutyRunner() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->work_thread.join();
  {
    const std::lock_guard lock(this->mutex);
    this->work_ended = true;
  }
  this->lease_thread.join();
}

void DutyRunner::SetTakeoverDelay(std::optional<base::Duration> delay) {
  const std::lock_guard lock(this->mutex);
  this->takeover_delay = delay;
}

std::optional<core::LeaseGrant> DutyRunner::Grant() const {
  const std::lock_guard lock(this->mutex);
  return this->lease.Grant(base::Now());
}

void DutyRunner::RunLease() {
  bool held = false;
  // The lease is renewed until the work has ended.
  while (!this->WorkEnded()) {
    core::LeaseTick tick;
    {
      const std::lock_guard lock(this->mutex);
      tick.takeover_delay = this->takeover_delay;
    }
    this->Tell(tick);
    const bool holds = this->Grant().has_value();
    if (holds != held) {
      held = holds;
      this->log.Info((holds ? "Holds " : "No longer holds ") +
                     this->options.duty + ".");
    }
    std::this_thread::sleep_for(kTick);
  }
  this->Tell(core::ReleaseLease{});
  for (int i = 0; i < kMostReleaseTicks && !this->lease.released(); ++i) {
    this->Tell(core::LeaseTick{});
    std::this_thread::sleep_for(kTick);
  }
}

void DutyRunner::Tell(const core::LeaseEvent& event) {
  std::vector<core::LeaseAction> due;
  {
    const std::lock_guard lock(this->mutex);
    due = this->lease.Step(event, base::Now());
  }
  while (!due.empty()) {
    const core::LeaseEvent answer =
        std::visit([this](const auto& action) { return this->Perform(action); },
                   due.front());
    const std::lock_guard lock(this->mutex);
    due = this->lease.Step(answer, base::Now());
  }
}

core::LeaseEvent DutyRunner::Perform(const core::ReadLease& action) const {
  try {
    const auto object = this->store.Get(kLeaseKind, this->options.duty);
    core::LeaseReadAnswer answer;
    answer.call = action.call;
    if (object) {
      answer.record = core::ParseLeaseRecord(object->value);
      answer.version = object->version;
    }
    return answer;
  } catch (const base::Error&) {
    return core::LeaseStoreError{action.call};
  }
}

core::LeaseEvent DutyRunner::Perform(const core::WriteLease& action) const {
  try {
    const systems::UpdateResult result = this->store.Put(
        kLeaseKind, this->options.duty, core::PrintLeaseRecord(action.record),
        action.if_version);
    if (result.done) {
      return core::LeaseWriteDone{action.call, result.version};
    }
    return core::LeaseWriteConflict{action.call};
  } catch (const base::NotReachedError&) {
    return core::LeaseStoreError{action.call};
  } catch (const base::Error&) {
    return core::LeaseWriteUncertain{action.call};
  }
}

void DutyRunner::RunWork() {
  const GetGrant get_grant = [this] { return this->Grant(); };
  while (this->Pause(this->options.work_interval)) {
    if (!this->Grant()) {
      continue;
    }
    try {
      this->work(get_grant);
    } catch (const base::Error& error) {
      this->log.Warn(error.what(),
                     {.peer = error.peer(), .step = error.step()});
    }
  }
}

bool DutyRunner::WorkEnded() const {
  const std::lock_guard lock(this->mutex);
  return this->work_ended;
}

bool DutyRunner::Pause(base::Milliseconds time) {
  std::unique_lock lock(this->mutex);
  return !this->changed.wait_for(lock, time, [&] { return this->stopping; });
}

}  // namespace carawayvalve::entry
