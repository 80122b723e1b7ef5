#ifndef CARAWAYVALVE_CORE_ROOM_ADMISSION_H_
#define CARAWAYVALVE_CORE_ROOM_ADMISSION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/decaying_sum.h"

namespace carawayvalve::core {

// A request that competes with others for room at the engines of a service.
struct RoomRequest {
  // Requests of a route form a class.
  base::RouteId route;
  // Empty if the route needs no key.
  base::ClientAccountId account;
  // The account's share of room when room is short, relative to the others'.
  int64_t weight = 1;
  // 0 is the most urgent.
  int64_t priority = 0;
  base::Instant arrived;
  base::Duration objective{};
  base::Instant deadline;

  bool operator==(const RoomRequest&) const = default;
};

// What the best engine for a request offers now.
struct RoomOffer {
  // Time until the first event if the request is sent now.
  base::Duration expected{};
  // The part of it that the engine needs for earlier requests.
  base::Duration work_ahead{};

  // Time that the request itself takes.
  base::Duration OwnTime() const { return this->expected - this->work_ahead; }

  bool operator==(const RoomOffer&) const = default;
};

struct SendToEngine {
  bool operator==(const SendToEngine&) const = default;
};

// The request waits at the gateway until an engine has room for it.
struct WaitForRoom {
  // Why, in few words.
  const char* reason = "";

  bool operator==(const WaitForRoom&) const = default;
};

// The request can't meet its deadline.
struct RefuseForRoom {
  // When room is expected; different for each of those refused.
  base::Duration retry_after{};

  bool operator==(const RefuseForRoom&) const = default;
};

using RoomDecision = std::variant<SendToEngine, WaitForRoom, RefuseForRoom>;

// Decides which requests are sent, wait at this gateway or are refused while
// the load exceeds what the engines can do.
//
// Engines serve in the order of arrival, so that whoever fills an engine's
// queue makes the others late. Therefore the work that may be ahead of a
// request at its engine is limited: the more, the less claim the request has to
// the room. Limits leave no engine idle, so that room which nobody else needs
// is lent. Requests that can still meet their objective may wait behind the
// work that their objective leaves time for. Classes that take more than their
// share and endanger others, and accounts that take more than their share while
// room is short, leave a part of that to the others. Requests that can't meet
// their objective any more are sent to engines with little to do.
class RoomAdmission {
 public:
  using Ticket = int64_t;

  // Decides about a request at its arrival.
  RoomDecision Decide(const RoomRequest& request,
                      const RoomOffer& offer,
                      base::Instant now);
  // Adds a request that is to wait.
  Ticket Add(const RoomRequest& request,
             const RoomOffer& offer,
             base::Instant now);
  // Decides about a request that waits, and removes it unless it waits on.
  RoomDecision Reconsider(Ticket ticket,
                          const RoomOffer& offer,
                          base::Instant now);
  // Removes a request that ends while it waits.
  void Remove(Ticket ticket);

  // Returns the waiting requests in the order in which room is given to them:
  // first those that can meet their objective, then the classes that don't take
  // more than their share, then by priority; within it those that came back,
  // then the accounts that had the least for their weight, then the earliest
  // deadline.
  std::vector<Ticket> InOrder(base::Instant now) const;
  size_t size() const { return this->waiting.size(); }

 private:
  struct Waiting {
    RoomRequest request;
    base::Duration own_time{};
    base::Instant since;
  };
  struct Traffic {
    int64_t priority = 0;
    base::Duration objective{};
    // Time that its requests take by themselves; mean of the recent ones.
    base::Duration own_time{};
    // Expected time of recent requests, as part of the objective.
    double strain = 0;
    // The longest time that its callers wait. Those that were refused and come
    // back have less of it left.
    base::Duration longest_time{};
    // Work that arrived, in milliseconds of an engine.
    DecayingSum work;
  };
  struct Usage {
    int64_t weight = 1;
    // Work that was sent, in milliseconds of an engine.
    DecayingSum work;
  };
  struct OrderKey {
    bool late = false;
    bool class_in_excess = false;
    int64_t priority = 0;
    bool first_visit = true;
    double usage = 0;
    base::Instant deadline;
    Ticket ticket = 0;

    auto operator<=>(const OrderKey&) const = default;
  };

  void NoteArrival(const RoomRequest& request,
                   const RoomOffer& offer,
                   base::Instant now);
  void NoteSent(const RoomRequest& request,
                base::Duration own_time,
                base::Instant now);
  OrderKey KeyOf(Ticket ticket,
                 const RoomRequest& request,
                 base::Duration own_time,
                 base::Instant now) const;
  // Returns how much work may be ahead of a request; less than nothing if it
  // can't meet its objective any more.
  base::Duration Slack(const RoomRequest& request,
                       base::Duration own_time,
                       base::Instant now) const;
  // Returns whether the caller has already spent a part of its time.
  bool HasReturned(const RoomRequest& request) const;
  // Returns why the request has less claim to room than others, or null.
  const char* WhyYields(const RoomRequest& request,
                        const OrderKey& key,
                        base::Instant now) const;
  // Returns whether a request waits that has more claim to room.
  bool IsOvertaken(const OrderKey& key, base::Instant now) const;
  // Returns whether the class takes more than its share of the work.
  bool ClassInExcess(const base::RouteId& route, base::Instant now) const;
  bool ClassYields(const RoomRequest& request, base::Instant now) const;
  bool AccountYields(const RoomRequest& request, base::Instant now) const;
  // Decides by the offer alone: whether the request is sent or waits.
  RoomDecision SendOrWait(Ticket ticket,
                          const RoomRequest& request,
                          const RoomOffer& offer,
                          base::Instant now) const;
  // Returns when the request would be sent if it waited.
  base::Duration ExpectedWait(const RoomRequest& request,
                              base::Duration own_time,
                              base::Instant now) const;
  RefuseForRoom Refuse(const RoomRequest& request,
                       base::Duration wait,
                       base::Instant now);

  std::map<Ticket, Waiting> waiting;
  std::map<base::RouteId, Traffic> classes;
  std::map<base::ClientAccountId, Usage> accounts;
  DecayingSum sent;
  // Work of those that were refused and are expected to come back.
  DecayingSum refused;
  int64_t refused_count = 0;
  base::Instant waiting_since;
  Ticket last_ticket = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROOM_ADMISSION_H_
