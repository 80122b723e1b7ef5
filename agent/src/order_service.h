#ifndef CARAWAYVALVE_AGENT_SRC_ORDER_SERVICE_H_
#define CARAWAYVALVE_AGENT_SRC_ORDER_SERVICE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "carawayvalve/agent/settings.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/core/order_gate.h"
#include "carawayvalve/systems/object_api.h"

namespace carawayvalve::agent {

// Passes the orders of the roles duty's holder through the order gate to the
// engine. Safe to call from several threads.
class OrderService {
 public:
  // Callbacks that keep orders and requests from running at the same time.
  struct RequestControl {
    // Returns whether no request runs at the engine.
    std::function<bool()> idle;
    // Called with true when no request may be started any more, and with false
    // when requests may be started again.
    std::function<void(bool hold)> set_hold;
  };

  OrderService(const AgentSettings& settings,
               const base::BootId& boot,
               RequestControl request_control);
  ~OrderService();

  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  // Waits until the order has ended or was refused. Returns kUnknown when the
  // agent stops first.
  core::OrderResult Order(const core::StampedOrder& order);
  // Records that the engine has restarted.
  void NoteEngineRestart();

  core::OrderToken highest() const;
  bool role_known() const;
  // Returns whether an order waits for the requests that run at the engine.
  bool draining() const;

 private:
  struct Performer;

  // Queues an event for the gate's thread.
  void Post(const core::GateEvent& event);
  // The gate's thread: passes queued events and ticks to the gate.
  void RunGate();
  // The engine's thread: runs orders, which take seconds, apart from the gate.
  void RunEngine();
  // Passes the event to the gate and performs the resulting actions.
  void StepGate(core::GateEvent event);
  // Calls `set_hold` when the value has changed.
  void UpdateHold(bool hold);
  core::GateEvent ReadMark(const core::ReadMark& action) const;
  core::GateEvent WriteMark(const core::WriteMark& action) const;
  core::GateEvent RunOrder(const core::RunOrder& action) const;

  AgentSettings settings;
  systems::ObjectApi store;
  RequestControl request_control;
  base::Log log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  core::OrderGate gate;
  std::deque<core::GateEvent> events;
  std::deque<core::RunOrder> pending_runs;
  std::map<int64_t, std::promise<core::OrderResult>> pending_results;
  int64_t last_call = 0;
  bool stopping = false;
  // Used only by the gate's thread.
  bool holding = false;
  std::thread gate_thread;
  std::thread engine_thread;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_ORDER_SERVICE_H_
