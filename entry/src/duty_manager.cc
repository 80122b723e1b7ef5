#include "duty_manager.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::entry {

namespace {

// Each candidate for a free lease waits this much longer than the one ranked
// before it.
constexpr std::chrono::seconds kTakeoverDelayStep{5};

std::vector<base::HostId> HostNames(const std::vector<systems::Host>& hosts) {
  std::vector<base::HostId> names;
  names.reserve(hosts.size());
  for (const systems::Host& host : hosts) {
    names.push_back(host.name);
  }
  return names;
}

}  // namespace

DutyManager::DutyManager(const EntrySettings& settings,
                         const base::BootId& self,
                         const systems::ObjectApi& store,
                         TaskFor task_for)
    : settings(settings),
      self(self),
      store(store),
      task_for(std::move(task_for)) {}

DutyManager::~DutyManager() = default;

void DutyManager::SetHosts(const std::vector<systems::Host>& entry_hosts) {
  const std::lock_guard lock(this->mutex);
  this->hosts = entry_hosts;
  this->Reconcile();
}

void DutyManager::SetConfiguration(const config::Configuration& configuration) {
  const std::lock_guard lock(this->mutex);
  this->declaration = configuration.declaration;
  this->Reconcile();
}

std::vector<std::string> DutyManager::HeldDuties() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> held;
  for (const auto& [name, runner] : this->runners) {
    if (runner->Grant()) {
      held.push_back(name);
    }
  }
  return held;
}

std::vector<core::Duty> DutyManager::CandidateDuties() const {
  std::vector<core::Duty> duties;
  if (this->declaration.services.empty()) {
    return duties;
  }
  for (const config::Service& service : this->declaration.services) {
    if (service.kind == config::ServiceKind::kModel) {
      duties.emplace_back(core::RolesDuty{service.name});
    }
  }
  duties.emplace_back(core::FleetDuty{this->settings.data_centre});
  duties.emplace_back(core::UsageDuty{this->settings.region});
  return duties;
}

void DutyManager::Reconcile() {
  std::vector<systems::Host> region_hosts;
  std::vector<systems::Host> data_centre_hosts;
  for (const systems::Host& host : this->hosts) {
    if (host.region == this->settings.region) {
      region_hosts.push_back(host);
    }
    if (host.data_centre == this->settings.data_centre) {
      data_centre_hosts.push_back(host);
    }
  }
  std::map<std::string, std::unique_ptr<DutyRunner>> kept_runners;
  for (const core::Duty& duty : this->CandidateDuties()) {
    const std::string name = core::DutyName(duty);
    std::unique_ptr<DutyRunner> runner = std::move(this->runners[name]);
    if (runner == nullptr) {
      const DutyRunner::Task task = this->task_for(duty);
      if (!task) {
        continue;
      }
      DutyRunner::Options options;
      options.duty = name;
      options.self = this->self;
      runner = std::make_unique<DutyRunner>(options, this->store, task);
    }
    const bool in_data_centre = std::holds_alternative<core::FleetDuty>(duty);
    runner->SetTakeoverDelay(core::TakeoverDelay(
        name, this->settings.host,
        HostNames(in_data_centre ? data_centre_hosts : region_hosts),
        kTakeoverDelayStep));
    kept_runners[name] = std::move(runner);
  }
  // Destroys the runners of duties that no longer exist.
  this->runners = std::move(kept_runners);
}

}  // namespace carawayvalve::entry
