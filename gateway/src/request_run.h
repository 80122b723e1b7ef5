#ifndef CARAWAYVALVE_GATEWAY_SRC_REQUEST_RUN_H_
#define CARAWAYVALVE_GATEWAY_SRC_REQUEST_RUN_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "backend_call.h"
#include "carawayvalve/core/attempt_policy.h"
#include "carawayvalve/core/server_sent_event_splitter.h"
#include "carawayvalve/net/http_server.h"
#include "context.h"

namespace carawayvalve::gateway {

// Serves one request of a caller from its arrival to its final answer.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(Context& context, std::shared_ptr<net::Exchange> exchange);

  void Start();

 private:
  // Return whether the request may go on; otherwise it was answered.
  bool FindRoute();
  bool CheckKey();
  bool CheckContent();

  // Chooses backend servers and sends the request to them.
  void Attempt();
  // Whether the answer can be had within the time that is left.
  bool FitsIn(const core::Placement& placement, base::Instant now) const;
  // Whether a request that is late anyway has to wait for room.
  bool MustWait(const core::Placement& placement, base::Instant now) const;
  void Wait(const core::Placement& placement);
  // Returns whether the wait is over.
  bool TryToLeave();
  void Send(const core::Placement& placement);
  void ReadPrompt(const core::Placement& placement);
  // Sends the request to an engine that takes the prompt from its reader.
  void RunHeldPrompt();
  void Run(const core::Placement& placement, const platform::RunStage& stage);
  BackendCallPlan PlanCall(const core::Placement& placement,
                           const platform::RunStage& stage) const;
  // The backend server was sent the prompt, or has read it.
  void NotePrefix(const base::BackendServerId& id, bool read);

  void OnReader(const core::Placement& placement, const BackendEvent& event);
  void OnPrefilled(const core::Placement& placement);
  void ReadFailed(const core::Placement& placement, const std::string& reason);

  void On(const BackendGotRequest& event);
  void On(const BackendDeclined& event);
  void On(const BackendAnswerBegun& event);
  void On(const BackendAnswerData& event);
  void On(const BackendAnswerDone& event);
  void On(const BackendBroken& event);
  void OnEvents(const std::string& data);
  void OnWholeAnswer();
  void OnOverdue();
  void OnNotSent(const std::string& reason);

  void GoOn(const core::AttemptEnd& end, const std::string& reason);
  // Ends a request for which nothing more is tried.
  void GiveUp();
  void Do(const core::TryAgain& step);
  void Do(const core::RefuseAsNotRun& step);
  void Do(const core::AnswerUnknownOutcome& step);
  void Do(const core::ForwardFailure& step);
  void Do(const core::BreakAnswerOff& step);

  void OnDeadline();
  void OnGone();
  void Refuse(int status, const std::string& reason, bool come_back);
  void End(int status, const std::string& outcome);
  void CountUsage(base::Instant at);
  // `kind` is one of few, for the metrics.
  void LogAttemptEnd(const char* kind, const std::string& reason);
  // Frees the prompt that an engine has read if nobody has taken it.
  void ReleasePrompt();
  void NoteBrokenContent();
  std::string ContentDigest() const;

  bool IsStream() const;
  core::RequestRules Rules() const;
  core::PlacementQuery Query() const;
  int64_t Priority() const;
  base::Duration TimeLeft(base::Instant now) const;
  int64_t AgeMs(base::Instant now) const;

  Context& context;
  std::shared_ptr<net::Exchange> exchange;
  core::CallerRequest caller;
  // Keeps the route and the account alive.
  std::shared_ptr<const core::ServingTable> table;
  const config::ServingRoute* route = nullptr;
  const config::ServingAccount* account = nullptr;
  base::ServiceId service;
  base::Instant arrived;
  base::Instant deadline;

  core::RequestProgress progress;
  // Whether an attempt before the present one may have run.
  bool earlier_may_have_run = false;
  std::set<base::BackendServerId> excluded;
  bool may_hand_over = true;
  int64_t failed_readings = 0;
  // An engine has read the prompt once; each further time is a retry.
  bool was_read = false;
  std::optional<core::LateRequestQueue::Ticket> place_in_queue;
  std::unique_ptr<BackendCall> call;
  // The answer to the reading of the prompt.
  std::string reading;
  // A prompt that was read and not taken yet, and the engine that has it.
  std::optional<platform::DecodeFromHandle> held_prompt;
  core::BackendEntry reader;

  // The answer of the present attempt.
  net::ResponseHead head;
  std::string body;
  core::ServerSentEventSplitter cutter;
  bool run_counted = false;
  base::Duration own_time{};

  net::Timer deadline_timer;
  net::Timer overdue_timer;
  bool ended = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_REQUEST_RUN_H_
