#ifndef CARAWAYVALVE_GATEWAY_SRC_REQUEST_HANDLER_H_
#define CARAWAYVALVE_GATEWAY_SRC_REQUEST_HANDLER_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backend_call.h"
#include "carawayvalve/core/attempt_policy.h"
#include "carawayvalve/core/deadline_fit.h"
#include "carawayvalve/core/server_sent_event_splitter.h"
#include "carawayvalve/core/stream_continuity.h"
#include "carawayvalve/net/http_server.h"
#include "context.h"

namespace carawayvalve::gateway {

// Handles one caller request from its arrival to its final answer: admits it,
// chooses backend servers, sends the request to them and retries it as its
// route allows. Owned by the callbacks that it registers.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
 public:
  RequestHandler(Context& context, std::shared_ptr<net::Exchange> exchange);

  void Start();
  // Returns where the request is, in logs: "admission" until it is placed,
  // "waiting_for_capacity", "prefill", "at_backend" or "answering".
  const char* PhaseName() const;
  // Applies what the stop of this process leaves of the time for an answer.
  void OnStop();

 private:
  static constexpr int kSuccess = 200;

  // Return whether the request may proceed. If not, it has been answered.
  bool FindRoute();
  bool CheckKey();

  // Takes the credit for the request off its account's limit, which may take a
  // short time, then begins it or refuses it.
  void ChargeAccount();
  void OnAccountDecided(const core::CreditStep& step);
  // `exceeded` is null for a request that is too large for ever.
  void LogAccountRefused(const core::AccountExceeded* exceeded);
  // Returns the credit.
  void RefundAccount();
  // Takes a stream up, or makes the first attempt.
  void Begin();

  // Finds out which software version began the stream that the caller takes up,
  // then makes the first attempt.
  void TakeUpStream();
  void OnStreamOrigin(const core::OriginVerdict& verdict);
  // Makes the first attempt at that version.
  void Perform(const core::ContinueAtVersion& verdict);
  // Refuses the request.
  void Perform(const core::OriginUnknown& verdict);
  // Records that a backend server of this version sends events of the stream.
  void NoteStream(const std::string& software_version);
  // Returns how long after its beginning callers take the stream up.
  base::Duration TakeUpTime() const;
  std::string StreamContent() const;
  // Returns the stream that the caller names as the one it takes up, if any.
  std::optional<base::RequestId> ResumedStream() const;
  // Chooses a backend server and sends the request to it, queues the request,
  // or ends it.
  void Attempt();
  // Returns whether the answer is expected within the time that is left.
  bool FitsDeadline(const core::Placement& placement, base::Instant now) const;
  // Returns whether a request that can't meet its objective must wait until the
  // target has less work.
  bool MustWait(const core::Placement& placement, base::Instant now) const;
  void WaitForCapacity(const core::Placement& placement);
  // Called while the request waits for capacity. Returns whether it stops
  // waiting.
  bool TryDispatch();
  void Send(const core::Placement& placement);
  void PrefillPrompt(const core::Placement& placement);
  // Sends the request to a decode engine that takes the prompt from the prefill
  // engine.
  void RunPrefilledPrompt();
  void Run(const core::Placement& placement, const platform::RunStage& stage);
  BackendCallPlan PlanCall(const core::Placement& placement,
                           const platform::RunStage& stage) const;
  // Records that the engine was sent the prompt or has prefilled it.
  void NotePrefix(const base::BackendServerId& id, bool prefilled);

  void OnPrefillEvent(const core::Placement& placement,
                      const BackendEvent& event);
  void OnPrefilled(const core::Placement& placement);
  void OnPrefillFailed(const core::Placement& placement,
                       const std::string& reason);

  void On(const BackendRequestSent& event);
  void On(const BackendDeclined& event);
  void On(const BackendAnswerBegun& event);
  void On(const BackendAnswerData& event);
  void On(const BackendAnswerDone& event);
  void On(const BackendCallFailed& event);
  void OnEvents(const std::string& data);
  // Passes complete events on to the caller.
  void SendEvents(const std::string& events, base::Instant received);
  bool AnswersEvents() const {
    return this->IsStream() && this->head.status == kSuccess;
  }
  // Counts what is held of the answer against the budget of all requests.
  void CountBuffered();
  // Ends the attempt with this number, whose answer was dropped.
  void OnAnswerDropped(int64_t attempt);
  // Ends the attempt, whose backend server answers with something else than
  // what it was asked for.
  void RejectAnswer(const std::string& reason);
  void OnCompleteAnswer();
  void OnOverdue();
  void OnNotSent(const std::string& reason);

  // Ends the current attempt and takes the next step, which may be a retry.
  void EndAttempt(const core::AttemptEnd& end, const std::string& reason);
  // Ends the request without another attempt.
  void GiveUp();
  void Perform(const core::TryAgain& step);
  void Perform(const core::RefuseAsNotRun& step);
  void Perform(const core::AnswerUnknownOutcome& step);
  void Perform(const core::ForwardFailure& step);
  void Perform(const core::BreakAnswerOff& step);

  // Keeps the answer for a caller that reads slowly, and records if the caller
  // doesn't receive all of it.
  void WatchDelivery();
  // Makes the request end at this time, or a little later.
  void StartDeadlineTimer(base::Instant at);
  void OnDeadline();
  void OnCallerDisconnected();
  void Refuse(int status, const std::string& reason, bool send_retry_after);
  void RefuseWith(int status,
                  const std::string& reason,
                  std::optional<base::Duration> retry_after);
  void End(int status, const std::string& outcome);
  // Counts the request once as usage of its client account.
  void CountUsage(base::Instant at);
  // Also counts the end in the metrics, by `kind`, of which there must be few.
  void LogAttemptEnd(const char* kind, const std::string& reason);
  // Does the same for an attempt in progress, if there is one, that ends with
  // its request.
  void LogAttemptCutOff(const char* kind, const std::string& reason);
  // Returns how the end of the current answer is marked, "none" before its
  // head.
  const char* FramingName() const;
  // Frees a prefilled prompt that no engine has taken.
  void ReleasePrompt();
  void NoteBrokenAnswer();
  core::RequestContent Content();
  // Returns whether the content may be sent to a backend server now. If not,
  // the request is ended.
  bool AdmitContent();
  // Ends a request whose content is quarantined.
  void RefuseQuarantined();
  // Records that the request was answered completely, by a failure or not.
  void NoteAnswered();
  // The same of its parts, with a success.
  void NoteServed();

  bool IsStream() const;
  core::RequestRules Rules() const;
  core::PlacementQuery Query() const;
  int64_t Priority() const;
  // Returns whether a stop of this process leaves the request time to be
  // answered whatever it takes.
  bool MayBeTaken(base::Instant now) const;
  // Refuses a request that this process can't answer before it stops.
  void RefuseAtStop();
  base::Duration TimeLeft(base::Instant now) const;
  int64_t AgeMs(base::Instant now) const;

  Context& context;
  std::shared_ptr<net::Exchange> exchange;
  core::CallerRequest caller;
  // Owns the route and the account.
  std::shared_ptr<const core::ServingTable> table;
  const config::ServingRoute* route = nullptr;
  const config::ServingAccount* account = nullptr;
  base::ServiceId service;
  base::Instant arrived;
  base::Instant deadline;

  // The parts of the prompt that other requests may share.
  std::vector<std::string> shared_parts;
  // Empty until it is needed.
  std::string content_digest;
  // The request tries whether one of them still crashes backend servers.
  bool on_trial = false;

  // The software version that began the stream; nothing while there is none.
  std::optional<std::string> stream_version;

  core::RequestProgress progress;
  // Whether an attempt before the current one may have run.
  bool earlier_may_have_run = false;
  std::set<base::BackendServerId> excluded;
  bool may_hand_over = true;
  int64_t failed_prefills = 0;
  // Taken off the account's limit; empty for none.
  core::Credit account_charge;
  // A prefill engine may have run the prompt.
  bool prompt_may_have_run = false;
  // The same before the last attempt at one.
  bool earlier_prompt_may_have_run = false;
  // An engine has prefilled the prompt; each further prefill is a retry.
  bool prefilled_once = false;
  std::optional<core::LateRequestQueue::Ticket> queue_ticket;
  std::unique_ptr<BackendCall> call;
  // The body of the prefill engine's answer.
  std::string prefill_answer;
  // A prefilled prompt that no engine has taken yet, and the engine that keeps
  // it.
  std::optional<platform::DecodeFromHandle> prefilled_prompt;
  core::BackendEntry prefill_engine;

  // The answer of the current attempt.
  net::ResponseHead head;
  net::BodyFraming framing = net::BodyFraming::kLength;
  std::string body;
  std::optional<base::ByteBudget::Buffer> buffered;
  // Distinguishes the attempts, also those that were never sent.
  int64_t attempt_number = 0;
  core::ServerSentEventSplitter splitter;
  core::StreamContinuity continuity;
  // Number of events before the current attempt.
  int64_t earlier_events = 0;
  bool usage_counted = false;
  // Time from reading the request to sending the first attempt.
  base::Duration overhead{};

  net::Timer deadline_timer;
  net::Timer overdue_timer;
  bool ended = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_REQUEST_HANDLER_H_
