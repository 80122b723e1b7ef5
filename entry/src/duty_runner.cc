#include "duty_runner.h"

#include <utility>

#include "carawayvalve/base/error.h"

namespace carawayvalve::entry {

namespace {

constexpr char kLeaseKind[] = "lease";
constexpr base::Milliseconds kTickInterval{100};
// A planned stop tries to release the lease for this many ticks; after that the
// lease is left to expire.
constexpr int kMaxReleaseTicks = 20;

}  // namespace

DutyRunner::DutyRunner(const Options& options,
                       const systems::ObjectApi& store,
                       Task task)
    : options(options),
      store(store),
      task(std::move(task)),
      log("duty"),
      lease(options.lease_options, options.self) {
  this->lease_thread = std::thread([this] { this->RunLease(); });
  this->task_thread = std::thread([this] { this->RunTask(); });
}

DutyRunner::~DutyRunner() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->task_thread.join();
  {
    const std::lock_guard lock(this->mutex);
    this->task_ended = true;
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
  bool was_held = false;
  // Renews the lease until the task has ended.
  while (!this->TaskEnded()) {
    core::LeaseTick tick;
    {
      const std::lock_guard lock(this->mutex);
      tick.takeover_delay = this->takeover_delay;
    }
    this->HandleEvent(core::StoreEraKnown{this->store.newest_era()});
    this->HandleEvent(tick);
    const bool holds = this->Grant().has_value();
    if (holds != was_held) {
      was_held = holds;
      this->log.Info((holds ? "Holds " : "No longer holds ") +
                     this->options.duty + ".");
    }
    std::this_thread::sleep_for(kTickInterval);
  }
  this->HandleEvent(core::ReleaseLease{});
  for (int i = 0; i < kMaxReleaseTicks && !this->lease.released(); ++i) {
    this->HandleEvent(core::LeaseTick{});
    std::this_thread::sleep_for(kTickInterval);
  }
}

void DutyRunner::HandleEvent(const core::LeaseEvent& event) {
  std::vector<core::LeaseAction> actions;
  {
    const std::lock_guard lock(this->mutex);
    actions = this->lease.Step(event, base::Now());
  }
  while (!actions.empty()) {
    const core::LeaseEvent answer =
        std::visit([this](const auto& action) { return this->Perform(action); },
                   actions.front());
    const std::lock_guard lock(this->mutex);
    actions = this->lease.Step(answer, base::Now());
  }
}

core::LeaseEvent DutyRunner::Perform(const core::ReadLease& action) const {
  try {
    const auto object = this->store.Get(kLeaseKind, this->options.duty);
    core::LeaseReadAnswer answer;
    answer.call = action.call;
    answer.era = this->store.newest_era();
    if (object) {
      answer.record = core::ParseLeaseRecord(object->value);
      answer.version = object->version;
      answer.era = object->era;
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
      return core::LeaseWriteDone{action.call, result.version, result.era};
    }
    return core::LeaseWriteConflict{action.call, result.era};
  } catch (const base::NotReachedError&) {
    return core::LeaseStoreError{action.call};
  } catch (const base::Error&) {
    return core::LeaseWriteUncertain{action.call};
  }
}

void DutyRunner::RunTask() {
  const GetGrant get_grant = [this] { return this->Grant(); };
  while (this->Sleep(this->options.task_interval)) {
    if (!this->Grant()) {
      continue;
    }
    try {
      this->task(get_grant);
    } catch (const base::Error& error) {
      this->log.Warn(error.what(),
                     {.peer = error.peer(), .step = error.step()});
    }
  }
}

bool DutyRunner::TaskEnded() const {
  const std::lock_guard lock(this->mutex);
  return this->task_ended;
}

bool DutyRunner::Sleep(base::Milliseconds time) {
  std::unique_lock lock(this->mutex);
  return !this->changed.wait_for(lock, time, [&] { return this->stopping; });
}

}  // namespace carawayvalve::entry
