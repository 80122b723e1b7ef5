#ifndef CARAWAYVALVE_ENTRY_SRC_DUTY_TASKS_H_
#define CARAWAYVALVE_ENTRY_SRC_DUTY_TASKS_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/duty.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve/systems/object_api.h"
#include "carawayvalve_types.h"
#include "dispatcher.h"
#include "duty_runner.h"
#include "fleet.h"
#include "fleet_duty_task.h"
#include "roles_duty_task.h"
#include "usage_duty_task.h"

namespace carawayvalve::entry {

// The tasks of the duties that this process may hold. Safe to call from several
// threads.
class DutyTasks {
 public:
  // Subscribes to the agent statuses that the dispatcher receives. `dispatcher`
  // and `usage_task` must outlive this object; the dispatcher must be closed
  // before this object is destroyed.
  DutyTasks(const EntrySettings& settings,
            const base::BootId& self,
            const systems::ObjectApi& store,
            Dispatcher& dispatcher,
            UsageDutyTask& usage_task);

  // Returns an empty function for a duty that has no task in this version.
  DutyRunner::Task TaskFor(const core::Duty& duty);

  void SetConfiguration(const config::Configuration& configuration);
  void SetHosts(const std::vector<systems::Host>& hosts);

 private:
  struct TaskVisitor;

  void NoteStatus(const base::BackendServerId& backend_server,
                  const wire::gen::AgentStatus& status);

  Fleet& fleet;
  UsageDutyTask& usage_task;
  std::mutex mutex;
  config::Declaration declaration;
  std::map<base::ServiceId, std::shared_ptr<RolesDutyTask>> role_tasks;
  const std::shared_ptr<FleetDutyTask> fleet_task;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_DUTY_TASKS_H_
