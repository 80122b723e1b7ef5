#include "timed_call.h"

#include <utility>

#include "carawayvalve/platform/requests.h"

namespace carawayvalve::gateway {

namespace {

// Answers to orders, reports and the like are short.
constexpr size_t kMaxAnswerBytes = size_t{1024} * 1024;

net::CallOptions OptionsOf(size_t max_bytes) {
  net::CallOptions options;
  options.max_body_bytes = max_bytes;
  options.whole_body = true;
  return options;
}

}  // namespace

std::shared_ptr<TimedCall> TimedCall::Start(net::EventLoop& loop,
                                            net::HttpClient& client,
                                            const base::Address& address,
                                            const net::Request& request,
                                            base::Duration timeout,
                                            Handler done) {
  auto timed = std::make_shared<TimedCall>(loop, std::move(done));
  timed->StartTimer(timeout);
  net::CallOptions options = OptionsOf(kMaxAnswerBytes);
  options.echo = platform::RequestIdField({});
  timed->Send(client, address, request, options);
  return timed;
}

std::shared_ptr<TimedCall> TimedCall::StartTransfer(
    net::EventLoop& loop,
    net::HttpClient& client,
    const base::Address& address,
    const net::Request& request,
    base::Duration period,
    size_t max_bytes,
    Handler done) {
  auto timed = std::make_shared<TimedCall>(loop, std::move(done));
  timed->period = period;
  timed->StartTimer(period);
  timed->Send(client, address, request, OptionsOf(max_bytes));
  return timed;
}

void TimedCall::Send(net::HttpClient& client,
                     const base::Address& address,
                     const net::Request& request,
                     const net::CallOptions& options) {
  this->call = client.Start(
      address, request, options,
      [weak = this->weak_from_this()](const net::CallEvent& event) {
        if (const auto self = weak.lock()) {
          self->OnEvent(event);
        }
      });
}

void TimedCall::StartTimer(base::Duration timeout) {
  this->timer.Start(timeout, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimeout();
    }
  });
}

void TimedCall::OnTimeout() {
  const bool goes_on =
      this->period.has_value() &&
      this->progress.Continues(this->call->received_bytes(), *this->period);
  if (goes_on) {
    this->StartTimer(*this->period);
  } else {
    this->Fail("timed out", this->call->received_bytes());
  }
}

void TimedCall::OnEvent(const net::CallEvent& event) {
  if (const auto* sent = std::get_if<net::CallSent>(&event)) {
    this->result.connection = sent->connection;
  } else if (const auto* other = std::get_if<net::CallSkipped>(&event)) {
    this->result.skipped.push_back(*other);
  } else if (const auto* head = std::get_if<net::CallHead>(&event)) {
    this->result.status = head->head.status;
    this->result.fields = head->head.fields;
    if (this->period.has_value()) {
      this->progress.Begin(this->call->received_bytes());
      this->StartTimer(*this->period);
    }
  } else if (const auto* body = std::get_if<net::CallBody>(&event)) {
    this->result.body = body->data;
  } else if (std::holds_alternative<net::CallDone>(event)) {
    this->result.received_bytes = this->result.body.size();
    this->Finish();
  } else if (const auto* failed = std::get_if<net::CallFailed>(&event)) {
    this->Fail(failed->reason, failed->received_bytes);
  }
}

void TimedCall::Fail(const std::string& reason, size_t received_bytes) {
  this->result.status = 0;
  this->result.fields.clear();
  this->result.body.clear();
  this->result.failure = reason;
  this->result.received_bytes = received_bytes;
  this->Finish();
}

void TimedCall::Finish() {
  // Kept alive because the handler may drop the last reference to this call.
  const auto self = this->shared_from_this();
  this->timer.Cancel();
  this->call.reset();
  this->result.time = base::Now() - this->started_at;
  if (const auto notify = std::exchange(this->done, nullptr)) {
    notify(this->result);
  }
}

void NoteSkippedAnswers(Context& context,
                        const core::BackendEntry& backend,
                        const char* kind,
                        const TimedCall::Result& result) {
  for (const net::CallSkipped& skipped : result.skipped) {
    context.NoteSkippedAnswer(backend, kind, {}, result.connection, skipped);
  }
}

}  // namespace carawayvalve::gateway
