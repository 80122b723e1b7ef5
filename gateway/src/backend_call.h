#ifndef CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_
#define CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "carawayvalve/core/answer_completeness.h"
#include "carawayvalve/net/http_client.h"
#include "carawayvalve/platform/requests.h"
#include "context.h"

namespace carawayvalve::gateway {

// The first bytes of the request were sent, so it may run from now on.
struct BackendRequestSent {
  // Whether the connection had carried an earlier request.
  bool kept_connection = false;
};

// The backend server reported that it has not run the request and never will.
struct BackendDeclined {
  int status = 0;
};

// The head of a genuine answer was received.
struct BackendAnswerBegun {
  net::ResponseHead head;
  net::BodyFraming framing = net::BodyFraming::kLength;
};

// A part of the answer's body was received.
struct BackendAnswerData {
  std::string data;
};

// The answer is complete.
struct BackendAnswerDone {};

// The call ended without a complete answer.
struct BackendCallFailed {
  // Nothing of the request was sent.
  bool not_sent = false;
  std::string reason;
};

using BackendEvent = std::variant<BackendRequestSent,
                                  BackendDeclined,
                                  BackendAnswerBegun,
                                  BackendAnswerData,
                                  BackendAnswerDone,
                                  BackendCallFailed>;

// The connection of a call, and what arrived on it for others.
struct BackendConnection {
  // 0 before the request was sent.
  int64_t number = 0;
  // It had carried an earlier request.
  bool kept = false;
  int skipped_answers = 0;
};

// How far an answer has come.
struct BackendAnswerProgress {
  // 0 before the head was received.
  int status = 0;
  // Received of the body.
  size_t bytes = 0;
};

// The target of a call, its order and its estimated load and time.
struct BackendCallPlan {
  core::BackendEntry backend;
  platform::BackendRequestOptions order;
  // Prefill work of the call, in tokens of a short prompt.
  int64_t prefill_work = 0;
  int64_t kv_tokens = 0;
  // What was ahead of the request at the backend server when it was placed.
  int64_t requests_ahead = 0;
  int64_t tokens_ahead = 0;
  // Expected time until the first data or the answer.
  base::Duration expected{};
  // The same if the backend server is as fast as its service's usual ones.
  base::Duration at_full_speed{};
  // A successful answer is an event stream unless its content type differs.
  bool expects_events = false;

  bool IsPrefill() const {
    return std::holds_alternative<platform::PrefillOnly>(this->order.stage);
  }
};

// Sends one request to one backend server and records its effect on the backend
// server's load and health. Destroying the call cancels the request. No event
// follows BackendDeclined, BackendAnswerDone or BackendCallFailed.
class BackendCall {
 public:
  // May destroy the call.
  using Handler = std::function<void(const BackendEvent&)>;

  // Starts the call. `context` must outlive it.
  BackendCall(Context& context,
              const net::Request& request,
              const core::CallerRequest& caller,
              const BackendCallPlan& plan,
              Handler handler);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  const BackendCallPlan& plan() const { return this->call_plan; }
  // When the call was started or, later, when the request was sent.
  base::Instant sent_at() const { return this->sent; }
  BackendAnswerProgress answer() const {
    return {this->status, this->received_bytes};
  }
  const BackendConnection& connection() const { return this->used_connection; }
  // Returns the time after which a backend server that hasn't sent any data
  // counts as silent.
  static base::Duration FirstDataTimeout(base::Duration expected);
  // Returns the same for the time between two pieces of data.
  static base::Duration NextDataTimeout();
  // Stops and resumes reading the answer.
  void Pause() { this->call->Pause(); }
  void Resume() { this->call->Resume(); }

  // Records the speed of an answer, which ends the backend server's failures.
  // Only who reads the answer to a PrefillOnly sees whether it is one, and
  // calls this.
  void NoteAnswer();

 private:
  void On(const net::CallSent& event);
  void On(const net::CallSkipped& event);
  void On(const net::CallHead& event);
  void On(const net::CallBody& event);
  void On(const net::CallDone& event);
  void On(const net::CallFailed& event);
  // Bounds what the answer may take of the memory.
  void LimitHeldBytes();
  // Ends a call whose answer isn't worth waiting for.
  void GiveUp(const std::string& reason);
  // Returns whether the body is read. Answers that don't go to the caller, such
  // as those to PrefillOnly, carry no signature.
  bool IsUsable() const;
  void NoteReceived();
  // Records that the answer has come on.
  void NoteProgress();
  // Returns what the time to the first data tells of the service's speed.
  std::optional<core::SpeedObservation> ObserveFirstData(
      base::Duration time) const;
  // Records for how long the request held a slot of a decode engine.
  void NoteSlotTime();
  // Records that the request reached the address, but not the backend server
  // in the role for which it was sent.
  void NoteMisdirected();
  void RecordEnd();
  // Counts an answer that has begun; `end` is "complete" or "broken".
  void CountAnswer(const char* end);
  void Notify(const BackendEvent& event);

  Context& context;
  BackendCallPlan call_plan;
  base::RequestId request;
  BackendConnection used_connection;
  Handler handler;
  std::unique_ptr<net::Call> call;
  core::FleetLoad::Ticket ticket = 0;
  core::SilenceDetector::Ticket silence_ticket = 0;
  base::Instant sent;
  platform::BackendHead head;
  // 0 before the head has arrived.
  int status = 0;
  net::BodyFraming framing = net::BodyFraming::kLength;
  core::AnswerCompleteness completeness;
  size_t received_bytes = 0;
  net::Timer declined_timer;
  std::optional<base::Duration> first_data_time;
  bool end_recorded = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_
