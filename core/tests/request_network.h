#ifndef CARAWAYVALVE_CORE_TESTS_REQUEST_NETWORK_H_
#define CARAWAYVALVE_CORE_TESTS_REQUEST_NETWORK_H_

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/core/attempt_ledger.h"
#include "carawayvalve/core/request_flow.h"

// Simulated network of request flows and agents for property tests. Messages
// are lost, duplicated, delayed and reordered. As over TCP, a message belongs
// to a connection to one run of an agent and is dropped when that run ends. A
// duplicated call is executed twice, but its sender receives only the first
// answer.
namespace carawayvalve::core::testing {

constexpr base::Milliseconds kSettleTime{500};
constexpr base::Milliseconds kDeadline{2000};
constexpr base::Milliseconds kRetention{3000};
constexpr base::Milliseconds kMaxTick{250};
constexpr size_t kMaxFlows = 4;
constexpr int32_t kChunks = 4;

enum class RequestKind { kNonIdempotent, kIdempotent, kContinuable };

struct SubmitMessage {
  base::AttemptId attempt;
  size_t flow = 0;
  int boot = 0;
  base::Instant clock;
  int32_t tokens_so_far = 0;
};

struct AbandonMessage {
  base::AttemptId attempt;
  int boot = 0;
  base::Instant clock;
};

struct CancelMessage {
  base::AttemptId attempt;
};

struct ReadMessage {
  base::AttemptId attempt;
  int64_t offset = 0;
};

using AgentMessage =
    std::variant<SubmitMessage, AbandonMessage, CancelMessage, ReadMessage>;

// One message in flight, to an agent or back.
struct Message {
  size_t flow = 0;
  size_t agent = 0;
  int agent_boot = 0;  // the run of the agent
  AgentMessage call;
  std::optional<RequestEvent> answer;
  bool duplicated = false;
};

// Returns the records of an attempt's answer, from chunk `from` on.
inline std::vector<AnswerRecord> MakeAnswer(RequestKind kind,
                                            const base::AttemptId& attempt,
                                            int32_t from) {
  std::vector<AnswerRecord> records;
  const bool plain = kind != RequestKind::kContinuable;
  // A model's answer is the same on every engine; a plain answer depends on the
  // attempt.
  const std::string name = plain ? attempt.value + ":" : "token ";
  if (plain) {
    records.emplace_back(AnswerHead{200, {{"attempt", attempt.value}}});
  }
  for (int32_t i = from; i < kChunks; ++i) {
    records.emplace_back(AnswerChunk{name + std::to_string(i)});
  }
  records.emplace_back(AnswerEnd{"stop", 1, kChunks, 0});
  return records;
}

// An agent and its backend server.
struct Agent {
  struct Job {
    size_t flow = 0;
    std::string output;  // not produced yet
  };

  int boot = 0;
  base::Duration clock_offset{};
  AttemptLedger ledger{kRetention};
  std::map<base::AttemptId, Job> jobs;
  // The agent's state in its last status, as known to entry processes.
  int known_boot = 0;
  base::Instant known_clock;
};

// An entry process's side of one request.
struct Flow {
  RequestKind kind = RequestKind::kNonIdempotent;
  std::unique_ptr<RequestFlow> flow;
  base::Instant deadline;
  std::map<base::AttemptId, SubmitMessage> submissions;
  std::vector<AnswerRecord> delivered;
  std::optional<FinishRequest> finish;
  int runs = 0;
  // Time has passed without a RequestTick event, so the deadline isn't checked.
  bool was_paused = false;
};

class RequestNetwork {
 public:
  explicit RequestNetwork(size_t agents);

  // Performs one random operation, selected by the two numbers.
  void Step(uint8_t kind, uint8_t number);
  // Advances time, delivers all messages in flight and checks that every
  // request finishes.
  void Settle();

 private:
  void Begin(uint8_t number);
  void Notify(size_t flow, const RequestEvent& event);
  void Perform(size_t flow, const std::vector<RequestAction>& actions);
  void Send(size_t flow, size_t agent, const AgentMessage& call);
  void Deliver(size_t index, bool keep);
  RequestEvent Receive(Agent& agent, const SubmitMessage& message);
  RequestEvent Receive(Agent& agent, const AbandonMessage& message);
  RequestEvent Receive(Agent& agent, const CancelMessage& message);
  RequestEvent Receive(Agent& agent, const ReadMessage& message);
  void Poll(size_t flow);
  void Interrupt(size_t flow, uint8_t number);
  void RunJob(Agent& agent, uint8_t number);
  void CrashEngine(Agent& agent);
  void Restart(Agent& agent);
  void AdvanceTime(base::Duration duration, bool tick);
  base::Instant ClockOf(const Agent& agent) const;
  void Check() const;

  base::Instant now = base::Instant() + std::chrono::hours(1);
  std::vector<Agent> agents;
  std::vector<Flow> flows;
  std::vector<Message> in_flight;
  uint8_t random_byte = 0;
  int attempts = 0;
};

}  // namespace carawayvalve::core::testing

#endif  // CARAWAYVALVE_CORE_TESTS_REQUEST_NETWORK_H_
