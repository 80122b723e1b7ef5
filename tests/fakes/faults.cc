#include "faults.h"

#include <chrono>
#include <condition_variable>
#include <utility>

namespace carawayvalve::fakes {

void SleepUnlessStopped(const std::stop_token& stop, int64_t delay_ms) {
  std::mutex mutex;
  std::condition_variable_any changed;
  std::unique_lock lock(mutex);
  changed.wait_for(lock, stop, std::chrono::milliseconds(delay_ms),
                   [] { return false; });
}

Faults::Faults(std::stop_token stop) : stop(std::move(stop)) {}

bool Faults::IsControl(const Request& request) {
  return request.Is("POST", "fault", 1) || request.Is("GET", "calls", 1);
}

Reply Faults::Control(const Request& request) {
  if (request.Is("POST", "fault", 1)) {
    this->Set(request.Json());
    return JsonReply(200, nlohmann::json::object());
  }
  const std::lock_guard lock(this->mutex);
  return JsonReply(200, nlohmann::json(this->calls));
}

void Faults::Set(const nlohmann::json& change) {
  const std::lock_guard lock(this->mutex);
  this->delay_ms = change.value("delay_ms", this->delay_ms);
  this->down = change.value("down", this->down);
  this->lose_answers = change.value("lose_answers", this->lose_answers);
  this->rate_limit = change.value("rate_limit", this->rate_limit);
}

void Faults::Count(const Request& request) {
  const std::string first = request.path.empty() ? "" : request.path.front();
  const std::lock_guard lock(this->mutex);
  this->calls[request.method + " " + first] += 1;
}

bool Faults::IsDown() const {
  const std::lock_guard lock(this->mutex);
  return this->down;
}

bool Faults::TakeLostAnswer(const Request& request) {
  const bool changes_state =
      request.method != "GET" && request.method != "HEAD";
  const std::lock_guard lock(this->mutex);
  if (!changes_state || this->lose_answers <= 0) {
    return false;
  }
  this->lose_answers -= 1;
  return true;
}

void Faults::AddRateLimit(Reply& reply) const {
  const std::lock_guard lock(this->mutex);
  if (!this->rate_limit.empty()) {
    reply.headers.emplace_back("Server-Limit", this->rate_limit);
  }
}

void Faults::DelayAnswer() const {
  int64_t delay = 0;
  {
    const std::lock_guard lock(this->mutex);
    delay = this->delay_ms;
  }
  if (delay > 0) {
    SleepUnlessStopped(this->stop, delay);
  }
}

}  // namespace carawayvalve::fakes
