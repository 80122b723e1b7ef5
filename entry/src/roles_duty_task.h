#ifndef CARAWAYVALVE_ENTRY_SRC_ROLES_DUTY_TASK_H_
#define CARAWAYVALVE_ENTRY_SRC_ROLES_DUTY_TASK_H_

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/order_issuer.h"
#include "carawayvalve/core/role_planner.h"
#include "carawayvalve_types.h"
#include "duty_runner.h"
#include "fleet.h"

namespace carawayvalve::entry {

// The task of one service's roles duty: orders its engines into the roles that
// the planner asks for.
class RolesDutyTask {
 public:
  // `fleet` must outlive the task.
  RolesDutyTask(const base::ServiceId& service, Fleet& fleet);

  // Runs one round, on the task thread of the duty runner. Blocks for seconds
  // while an order is carried out.
  void Run(const DutyRunner::GetGrant& get_grant);

  void SetRule(const config::EngineRule& rule);
  // Records an agent's status. Later orders are stamped with the agent's clock.
  void NoteStatus(const base::BackendServerId& backend_server,
                  const wire::gen::AgentStatus& status);

 private:
  std::vector<core::EngineState> Engines() const;
  std::vector<core::IssuerAction> StepIssuer(const core::IssuerEvent& event);
  void CarryOut(const core::SendOrder& action);
  void Conclude(const core::OrderConcluded& order);
  core::IssuerEvent SendToAgent(const core::SendOrder& action) const;

  base::ServiceId service;
  Fleet& fleet;
  base::Log log;
  std::mutex mutex;
  core::OrderIssuer issuer;
  std::optional<core::RolePlanner> planner;
  config::EngineRule rule;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_ROLES_DUTY_TASK_H_
