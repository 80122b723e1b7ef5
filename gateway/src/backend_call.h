#ifndef CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_
#define CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "carawayvalve/net/http_client.h"
#include "carawayvalve/platform/requests.h"
#include "context.h"

namespace carawayvalve::gateway {

// The backend server got the request.
struct BackendGotRequest {
  bool kept_connection = false;
};

// The backend server has not run the request and never will.
struct BackendDeclined {
  int status = 0;
};

// A genuine answer begins.
struct BackendAnswerBegun {
  net::ResponseHead head;
};

struct BackendAnswerData {
  std::string data;
};

struct BackendAnswerDone {};

// There is no whole answer.
struct BackendBroken {
  // Nothing was sent.
  bool not_sent = false;
  std::string reason;
};

using BackendEvent = std::variant<BackendGotRequest,
                                  BackendDeclined,
                                  BackendAnswerBegun,
                                  BackendAnswerData,
                                  BackendAnswerDone,
                                  BackendBroken>;

// What one call does to a backend server.
struct BackendCallPlan {
  core::BackendEntry backend;
  platform::BackendRequestOptions order;
  // What the backend server has to read, in tokens of a short prompt.
  int64_t reading_work = 0;
  int64_t kv_tokens = 0;
  // Until the first data or the answer; and if the backend server is as fast as
  // its data sheet says.
  base::Duration expected{};
  base::Duration at_full_speed{};
};

// One request at one backend server. Keeps the beliefs about its load and its
// health up to date. Destroying it cancels the request. After BackendDeclined,
// BackendAnswerDone and BackendBroken no event follows.
class BackendCall {
 public:
  using Handler = std::function<void(const BackendEvent&)>;

  BackendCall(Context& context,
              const net::Request& request,
              const core::CallerRequest& caller,
              const BackendCallPlan& plan,
              Handler handler);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  const BackendCallPlan& plan() const { return this->call_plan; }
  base::Instant sent_at() const { return this->sent; }
  // How long the backend server may be silent before the first data.
  static base::Duration FirstPatience(base::Duration expected);
  // And between two pieces of data.
  static base::Duration NextPatience();
  void Pause() { this->call->Pause(); }
  void Resume() { this->call->Resume(); }

 private:
  void On(const net::CallSent& event);
  void On(const net::CallHead& event);
  void On(const net::CallBody& event);
  void On(const net::CallDone& event);
  void On(const net::CallFailed& event);
  void NoteFirstData();
  void Settle();
  void Tell(const BackendEvent& event);

  Context& context;
  BackendCallPlan call_plan;
  Handler handler;
  std::unique_ptr<net::Call> call;
  core::FleetLoad::Ticket ticket = 0;
  core::SilenceDetector::Ticket silence_ticket = 0;
  base::Instant sent;
  platform::BackendHead head;
  int status = 0;
  bool got_data = false;
  bool settled = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_BACKEND_CALL_H_
