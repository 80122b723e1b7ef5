#ifndef CARAWAYVALVE_ENTRY_SRC_AGENT_LINK_H_
#define CARAWAYVALVE_ENTRY_SRC_AGENT_LINK_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/request_flow.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// Callbacks of an AgentLink, called on the link's own threads.
struct AgentLinkEvents {
  std::function<void(const base::AttemptId&, const core::RequestEvent&)>
      on_event;
  // The backend server crashed while it ran the attempt. Called instead of
  // on_event.
  std::function<void(const base::AttemptId&,
                     const std::string& death_id,
                     const core::RequestEvent&)>
      on_crash;
  // Returns the next read of each attempt at this agent.
  std::function<std::vector<wire::gen::ReadRequest>()> read_requests;
  std::function<void(const wire::gen::AgentStatus&)> on_status;
  std::function<void(const wire::gen::CacheEvents&)> on_cache_events;
  // The agent has been unreachable for too long, or has restarted.
  std::function<void(const std::string& reason)> on_lost;
};

// The connections of an entry process to one agent: one for commands such as
// submit and abandon, one for reading answers, one for status.
class AgentLink {
 public:
  AgentLink(std::string address,
            const base::BootId& entry,
            AgentLinkEvents events);
  ~AgentLink();

  AgentLink(const AgentLink&) = delete;
  AgentLink& operator=(const AgentLink&) = delete;

  // These queue a call to the agent and return at once. The results of Submit
  // and Abandon are reported through on_event.
  void Submit(const wire::gen::Submission& submission);
  // `agent` and `agent_clock_us` must be those of the submission.
  void Abandon(const base::AttemptId& attempt,
               const base::BootId& agent,
               int64_t agent_clock_us);
  void Cancel(const base::AttemptId& attempt);
  void Configure(const wire::gen::AgentConfiguration& configuration);

  // Asks the threads to end without waiting; the destructor joins them.
  void Stop();

 private:
  struct AbandonCommand {
    base::AttemptId attempt;
    base::BootId agent;
    int64_t agent_clock_us = 0;
  };
  struct CancelCommand {
    base::AttemptId attempt;
  };
  using Command = std::variant<wire::gen::Submission,
                               AbandonCommand,
                               CancelCommand,
                               wire::gen::AgentConfiguration>;
  class CommandExecutor;

  void Post(const Command& command);
  void RunCommands();
  void RunReads();
  void RunStatus();
  // Sleeps, but wakes at once when the link stops.
  void Sleep(base::Milliseconds time);

  std::string address;
  base::BootId entry;
  AgentLinkEvents events;
  base::Log log;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Command> commands;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_AGENT_LINK_H_
