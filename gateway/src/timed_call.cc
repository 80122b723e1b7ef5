#include "timed_call.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

// Answers to orders, reports and the like are short.
constexpr size_t kMaxAnswerBytes = size_t{1024} * 1024;

}  // namespace

std::shared_ptr<TimedCall> TimedCall::Start(net::EventLoop& loop,
                                            net::HttpClient& client,
                                            const base::Address& address,
                                            const net::Request& request,
                                            base::Duration timeout,
                                            Handler done) {
  auto timed = std::make_shared<TimedCall>(loop);
  timed->done = std::move(done);
  const std::weak_ptr<TimedCall> weak = timed;
  timed->timer.Start(timeout, [weak] {
    if (const auto self = weak.lock()) {
      self->result = {};
      self->Finish();
    }
  });
  net::CallOptions options;
  options.max_body_bytes = kMaxAnswerBytes;
  options.whole_body = true;
  timed->call = client.Start(address, request, options,
                             [weak](const net::CallEvent& event) {
                               if (const auto self = weak.lock()) {
                                 self->OnEvent(event);
                               }
                             });
  return timed;
}

void TimedCall::OnEvent(const net::CallEvent& event) {
  if (const auto* head = std::get_if<net::CallHead>(&event)) {
    this->result.status = head->head.status;
    this->result.fields = head->head.fields;
  } else if (const auto* body = std::get_if<net::CallBody>(&event)) {
    this->result.body = body->data;
  } else if (std::holds_alternative<net::CallDone>(event)) {
    this->Finish();
  } else if (std::holds_alternative<net::CallFailed>(event)) {
    this->result = {};
    this->Finish();
  }
}

void TimedCall::Finish() {
  // Kept alive because the handler may drop the last reference to this call.
  const auto self = this->shared_from_this();
  this->timer.Cancel();
  this->call.reset();
  if (const auto notify = std::exchange(this->done, nullptr)) {
    notify(this->result);
  }
}

}  // namespace carawayvalve::gateway
