#ifndef CARAWAYVALVE_GATEWAY_SRC_ROOM_SCHEDULER_H_
#define CARAWAYVALVE_GATEWAY_SRC_ROOM_SCHEDULER_H_

#include <functional>
#include <map>

#include "carawayvalve/core/room_admission.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Holds requests that wait for room at an engine, and has each reconsidered at
// intervals in the order that RoomAdmission gives.
class RoomScheduler {
 public:
  using Ticket = core::RoomAdmission::Ticket;
  // Reconsiders the request. Returns whether it no longer waits, be it sent or
  // refused.
  using Reconsider = std::function<bool()>;

  explicit RoomScheduler(net::EventLoop& loop) : timer(loop) {}

  core::RoomAdmission& admission() { return this->room; }
  // Adds a request; `reconsider` is called until it returns true or the request
  // is removed.
  Ticket Add(const core::RoomRequest& request,
             const core::RoomOffer& offer,
             Reconsider reconsider);
  // Removes a request that ends while it waits.
  void Remove(Ticket ticket);
  size_t size() const { return this->room.size(); }

 private:
  void Tick();

  core::RoomAdmission room;
  std::map<Ticket, Reconsider> requests;
  net::Timer timer;
  bool ticking = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ROOM_SCHEDULER_H_
