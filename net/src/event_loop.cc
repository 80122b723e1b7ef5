#include "carawayvalve/net/event_loop.h"

#include "loop_state.h"
#include "send_state.h"

namespace carawayvalve::net {

namespace detail {

struct TimerState {
  explicit TimerState(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  // Distinguishes a new wait from a cancelled one whose handler is already
  // queued.
  int64_t generation = 0;
};

bool SetUpSocket(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const int descriptor = socket.native_handle();
  if (!ReadSendState(descriptor).has_value()) {
    SetUserTimeout(descriptor);
    return false;
  }
  LimitProbeInterval(descriptor);
  return true;
}

}  // namespace detail

EventLoop::EventLoop() : loop(std::make_unique<detail::LoopState>()) {}
EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  const auto work_guard = boost::asio::make_work_guard(this->loop->context);
  // Allows Run after Stop.
  this->loop->context.restart();
  this->loop->context.run();
}

void EventLoop::Stop() {
  this->loop->context.stop();
}

void EventLoop::Post(std::function<void()> handler) {
  boost::asio::post(this->loop->context, std::move(handler));
}

void EventLoop::OnSignals(const std::vector<int>& signals,
                          std::function<void(int)> handler) {
  if (!this->loop->signals.has_value()) {
    this->loop->signals.emplace(this->loop->context);
    for (const int number : signals) {
      this->loop->signals->add(number);
    }
  }
  this->loop->signals->async_wait(
      [this, signals, handler = std::move(handler)](
          const detail::error_code& error, int number) mutable {
        if (error) {
          return;
        }
        handler(number);
        this->OnSignals(signals, std::move(handler));
      });
}

Timer::Timer(EventLoop& loop)
    : timer(std::make_shared<detail::TimerState>(loop.state().context)) {}

Timer::~Timer() {
  if (this->timer != nullptr) {
    this->Cancel();
  }
}

Timer::Timer(Timer&&) noexcept = default;
Timer& Timer::operator=(Timer&&) noexcept = default;

void Timer::Start(base::Duration wait, std::function<void()> handler) {
  const int64_t generation = ++this->timer->generation;
  this->timer->timer.expires_after(wait);
  this->timer->timer.async_wait(
      [state = this->timer, generation,
       handler = std::move(handler)](const detail::error_code& error) {
        if (!error && state->generation == generation) {
          handler();
        }
      });
}

void Timer::Cancel() {
  ++this->timer->generation;
  this->timer->timer.cancel();
}

}  // namespace carawayvalve::net
