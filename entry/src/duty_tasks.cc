#include "duty_tasks.h"

#include <algorithm>
#include <set>

namespace carawayvalve::entry {

namespace {

// The engines of a service without an engine rule keep their roles.
config::EngineRule RuleOf(const config::Declaration& declaration,
                          const base::ServiceId& service) {
  const auto found = std::find_if(
      declaration.engine_rules.begin(), declaration.engine_rules.end(),
      [&](const config::EngineRule& rule) { return rule.service == service; });
  if (found != declaration.engine_rules.end()) {
    return *found;
  }
  config::EngineRule rule;
  rule.service = service;
  rule.change_roles = false;
  return rule;
}

}  // namespace

// Returns the task of one duty. Requires `owner.mutex` to be held.
struct DutyTasks::TaskVisitor {
  DutyTasks& owner;

  DutyRunner::Task operator()(const core::RolesDuty& duty) const {
    std::shared_ptr<RolesDutyTask>& task = this->owner.role_tasks[duty.service];
    if (task == nullptr) {
      task = std::make_shared<RolesDutyTask>(duty.service, this->owner.fleet);
      task->SetRule(RuleOf(this->owner.declaration, duty.service));
    }
    return
        [task](const DutyRunner::GetGrant& get_grant) { task->Run(get_grant); };
  }

  DutyRunner::Task operator()(const core::FleetDuty&) const {
    return [task = this->owner.fleet_task](
               const DutyRunner::GetGrant& get_grant) { task->Run(get_grant); };
  }

  DutyRunner::Task operator()(const core::UsageDuty&) const {
    return [&usage_task =
                this->owner.usage_task](const DutyRunner::GetGrant& get_grant) {
      usage_task.Run(get_grant);
    };
  }
};

DutyTasks::DutyTasks(const EntrySettings& settings,
                     const base::BootId& self,
                     const systems::ObjectApi& store,
                     Dispatcher& dispatcher,
                     UsageDutyTask& usage_task)
    : fleet(dispatcher.fleet()),
      usage_task(usage_task),
      fleet_task(std::make_shared<FleetDutyTask>(settings, self, store)) {
  dispatcher.SetOnStatus([this](const base::BackendServerId& backend_server,
                                const wire::gen::AgentStatus& status) {
    this->NoteStatus(backend_server, status);
  });
}

DutyRunner::Task DutyTasks::TaskFor(const core::Duty& duty) {
  const std::lock_guard lock(this->mutex);
  return std::visit(TaskVisitor{*this}, duty);
}

void DutyTasks::SetConfiguration(const config::Configuration& configuration) {
  const std::lock_guard lock(this->mutex);
  this->declaration = configuration.declaration;
  for (const auto& [service, task] : this->role_tasks) {
    task->SetRule(RuleOf(this->declaration, service));
  }
  this->fleet_task->SetServices(this->declaration.services);
}

void DutyTasks::SetHosts(const std::vector<systems::Host>& hosts) {
  // A data centre whose entry hosts are all leaving is still counted, so that a
  // planned stop doesn't move its share to other data centres.
  std::set<base::DataCentreId> data_centres;
  for (const systems::Host& host : hosts) {
    if (host.role == systems::HostRole::kEntry) {
      data_centres.insert(host.data_centre);
    }
  }
  this->fleet_task->SetDataCentres({data_centres.begin(), data_centres.end()});
}

void DutyTasks::NoteStatus(const base::BackendServerId& backend_server,
                           const wire::gen::AgentStatus& status) {
  std::map<base::ServiceId, std::shared_ptr<RolesDutyTask>> tasks;
  {
    const std::lock_guard lock(this->mutex);
    tasks = this->role_tasks;
  }
  for (const auto& [service, task] : tasks) {
    task->NoteStatus(backend_server, status);
  }
}

}  // namespace carawayvalve::entry
