#ifndef CARAWAYVALVE_ENTRY_SRC_DUTY_MANAGER_H_
#define CARAWAYVALVE_ENTRY_SRC_DUTY_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/duty.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve/systems/object_api.h"
#include "duty_runner.h"

namespace carawayvalve::entry {

// Runs one DutyRunner for each duty that this process may hold according to the
// configuration and the host list. Safe to call from several threads.
class DutyManager {
 public:
  // Returns the task of a duty, or an empty function if this version has no
  // task for it.
  using TaskFor = std::function<DutyRunner::Task(const core::Duty& duty)>;

  DutyManager(const EntrySettings& settings,
              const base::BootId& self,
              const systems::ObjectApi& store,
              TaskFor task_for);
  // Releases every lease.
  ~DutyManager();

  DutyManager(const DutyManager&) = delete;
  DutyManager& operator=(const DutyManager&) = delete;

  // Sets the live entry hosts, this one included.
  void SetHosts(const std::vector<systems::Host>& entry_hosts);
  void SetConfiguration(const config::Configuration& configuration);

  // Returns the names of the duties whose leases this process holds now.
  std::vector<std::string> HeldDuties() const;

 private:
  // These require `mutex` to be held.
  std::vector<core::Duty> CandidateDuties() const;
  void Reconcile();

  EntrySettings settings;
  base::BootId self;
  systems::ObjectApi store;
  TaskFor task_for;
  mutable std::mutex mutex;
  std::vector<systems::Host> hosts;
  config::Declaration declaration;
  std::map<std::string, std::unique_ptr<DutyRunner>> runners;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_DUTY_MANAGER_H_
