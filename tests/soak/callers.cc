#include "callers.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace carawayvalve::tests {

namespace {

// Longest pause between two requests of a caller.
constexpr int kMaxPauseMs = 60;
// How long a caller waits for a complete answer.
constexpr base::Milliseconds kAnswerTimeout(3000);
constexpr base::Milliseconds kConnectTimeout(1000);
// Callers that are asked to wait for longer come back after this time.
constexpr base::Milliseconds kMaxRetryAfter(1000);

const char* PathOf(RequestType type) {
  switch (type) {
    case RequestType::kPayment:
      return "/pay/";
    case RequestType::kLookup:
      return "/look/";
    case RequestType::kStream:
      return "/stream/";
    case RequestType::kResumableStream:
      return "/resume/";
  }
  return "/";
}

bool IsForModel(RequestType type) {
  return type == RequestType::kStream || type == RequestType::kResumableStream;
}

net::Request MakeRequest(const CallerCall& call) {
  net::Request request{
      "POST",
      std::string(PathOf(call.type)) + "x",
      {{"Host", "soak.example"},
       {"X-Request-Id", call.id},
       {"X-Credential", call.key},
       {"X-Deadline-Ms", std::to_string(kAnswerTimeout.count())}},
      call.type == RequestType::kPayment ? "pay" : ""};
  if (IsForModel(call.type)) {
    const std::string shared = std::to_string(call.prompt % 4);
    request.fields.push_back({"X-Model", "m"});
    request.fields.push_back({"X-Token-Count", "2000,50"});
    const std::string poison =
        call.poison ? std::string(kPoisonPart) + ":10," : "";
    request.fields.push_back(
        {"X-Prompt-Prefix", shared + ":1500," + poison + call.id + ":500"});
    request.body = call.id;
  }
  if (!call.resumes.empty()) {
    request.fields.push_back({"Last-Event-Id", call.after_event});
    request.fields.push_back({"Resumes", call.resumes});
  }
  return request;
}

// Returns the id of the last complete event that the caller has.
std::string LastEventOf(const CallerCall& call) {
  constexpr std::string_view kField = "id: ";
  const size_t end = call.body.rfind("\n\n");
  const size_t start =
      end == std::string::npos ? end : call.body.rfind(kField, end);
  if (start == std::string::npos) {
    return call.after_event;
  }
  const size_t id = start + kField.size();
  return call.body.substr(id, call.body.find('\n', id) - id);
}

base::Milliseconds RetryAfterOf(const net::ResponseHead& head) {
  const std::string* seconds = net::FindField(head.fields, "Retry-After");
  return seconds == nullptr
             ? base::Milliseconds(0)
             : base::Milliseconds(std::llround(std::stod(*seconds) * 1000));
}

}  // namespace

Callers::Callers(net::EventLoop& loop,
                 uint32_t seed,
                 int count,
                 Environment environment)
    : loop(loop),
      generator(seed),
      poison_generator(seed),
      repeat_generator(seed),
      environment(std::move(environment)) {
  for (int i = 0; i < count; ++i) {
    this->callers.push_back(
        {std::make_unique<net::HttpClient>(loop, std::chrono::seconds(3)),
         std::make_unique<net::Timer>(loop), nullptr});
  }
}

void Callers::Start() {
  for (size_t i = 0; i < this->callers.size(); ++i) {
    this->ScheduleNext(i);
  }
}

void Callers::ScheduleNext(size_t index) {
  if (this->stopped) {
    return;
  }
  const base::Milliseconds pause(this->generator() % kMaxPauseMs);
  this->callers[index].timer->Start(pause,
                                    [this, index] { this->SendNew(index); });
}

void Callers::SendNew(size_t index) {
  const auto gateways = this->environment.gateways();
  const auto accounts = this->environment.accounts();
  if (gateways.empty() || accounts.empty()) {
    this->ScheduleNext(index);
    return;
  }
  this->all_calls.push_back(std::make_unique<CallerCall>());
  CallerCall& call = *this->all_calls.back();
  const Account& account = accounts[this->generator() % accounts.size()];
  call.id = "r" + std::to_string(++this->last_id);
  call.type = static_cast<RequestType>(this->generator() % 4);
  call.account = account.name;
  call.key = account.key;
  call.poison = IsForModel(call.type) &&
                std::uniform_real_distribution<double>()(
                    this->poison_generator) < this->environment.poison_fraction;
  const std::string& gateway = gateways[this->generator() % gateways.size()];
  call.prompt = static_cast<int>(this->generator() % 100);
  this->Send(index, call, gateway);
}

bool Callers::IsTakenUp(const CallerCall& call) const {
  return this->environment.take_up_streams && !call.complete &&
         call.type == RequestType::kResumableStream && call.status == 200 &&
         !LastEventOf(call).empty();
}

void Callers::Repeat(size_t index, const CallerCall& ended) {
  std::vector<std::string> others = this->environment.gateways();
  std::erase(others, ended.gateway);
  if (others.empty() || this->stopped) {
    this->ScheduleNext(index);
    return;
  }
  this->all_calls.push_back(std::make_unique<CallerCall>());
  CallerCall& call = *this->all_calls.back();
  call.id = "r" + std::to_string(++this->last_id);
  call.type = ended.type;
  call.account = ended.account;
  call.key = ended.key;
  call.poison = ended.poison;
  call.prompt = ended.prompt;
  if (this->IsTakenUp(ended)) {
    call.resumes = ended.resumes.empty() ? ended.id : ended.resumes;
    call.after_event = LastEventOf(ended);
  } else {
    call.repeats = ended.id;
    call.resumes = ended.resumes;
    call.after_event = ended.after_event;
  }
  this->Send(index, call, others[this->repeat_generator() % others.size()]);
}

void Callers::Send(size_t index, CallerCall& call, const std::string& gateway) {
  call.gateway = gateway;
  call.sent = base::Now();
  ++this->in_flight_count;
  Caller& caller = this->callers[index];
  net::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  caller.timer->Start(kAnswerTimeout, [this, index, &call] {
    this->callers[index].call.reset();
    this->Finish(index, call);
  });
  caller.call = caller.client->Start(
      base::ParseAddress(gateway), MakeRequest(call), options,
      [this, index, &call](const net::CallEvent& event) {
        if (const auto* sent = std::get_if<net::CallSent>(&event)) {
          call.kept_connection = sent->kept_connection;
        } else if (const auto* head = std::get_if<net::CallHead>(&event)) {
          call.status = head->head.status;
          call.retry_after = RetryAfterOf(head->head);
        } else if (const auto* body = std::get_if<net::CallBody>(&event)) {
          call.body += body->data;
        } else if (std::holds_alternative<net::CallDone>(event)) {
          call.complete = true;
          this->Finish(index, call);
        } else if (std::holds_alternative<net::CallFailed>(event)) {
          this->Finish(index, call);
        }
      });
}

void Callers::Finish(size_t index, CallerCall& call) {
  call.ended = base::Now();
  --this->in_flight_count;
  // Only schedules the next request: sending it here would destroy the call
  // whose event handler is running.
  const bool repeats = this->environment.repeat_refused && call.complete &&
                       call.repeats.empty() && call.retry_after.count() > 0;
  if (!repeats && !this->IsTakenUp(call)) {
    this->ScheduleNext(index);
    return;
  }
  this->callers[index].timer->Start(
      std::min(call.retry_after, kMaxRetryAfter),
      [this, index, &call] { this->Repeat(index, call); });
}

}  // namespace carawayvalve::tests
