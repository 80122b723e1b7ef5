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

// Takes the orders of the roles duty's holder to the engine, through the gate.
// Safe to call from several threads.
class OrderService {
 public:
  // How orders and requests keep out of each other's way.
  struct RequestControl {
    // Whether none runs at the engine.
    std::function<bool()> idle;
    // Told when none may be started any more, and when they may again.
    std::function<void(bool hold)> set_hold;
  };

  OrderService(const AgentSettings& settings,
               const base::BootId& boot,
               RequestControl request_control);
  ~OrderService();

  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  // Waits until the order has ended or was refused.
  core::OrderResult Order(const core::StampedOrder& order);
  // The engine was seen to have started anew.
  void NoteEngineRestart();

  core::OrderToken highest() const;
  bool role_known() const;
  // An order waits for the requests that run at the engine.
  bool draining() const;

 private:
  struct Performer;

  void Post(const core::GateEvent& event);
  // Feeds the gate on its own thread.
  void RunGate();
  // Calls the engine on a thread of its own, since an order takes seconds.
  void RunEngine();
  void StepGate(core::GateEvent event);
  // Tells the requests when it has changed whether they are held.
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
  // Used by the gate's thread alone.
  bool holding = false;
  std::thread gate_thread;
  std::thread engine_thread;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_ORDER_SERVICE_H_
