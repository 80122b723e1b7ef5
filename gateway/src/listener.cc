#include "listener.h"

#include <utility>

#include "carawayvalve/base/listen.h"

namespace carawayvalve::gateway {

namespace {

constexpr base::Milliseconds kRetryInterval(100);

}  // namespace

Listener::Listener(net::EventLoop& loop, base::Journal& journal)
    : journal(journal), retry_timer(loop) {}

void Listener::Start(const std::string& listener_name,
                     const base::Address& listening_address,
                     Open open_listener,
                     std::function<void()> on_opened) {
  this->name = listener_name;
  this->address = listening_address;
  this->open = std::move(open_listener);
  this->on_open = std::move(on_opened);
  this->Try();
}

void Listener::Try() {
  const std::string printed =
      this->address.host + ":" + std::to_string(this->address.port);
  try {
    this->open();
  } catch (const base::ListenError& error) {
    if (error.reason() != this->logged_reason) {
      this->logged_reason = error.reason();
      this->journal.Write(base::LogLevel::kError, "listen_failed",
                          {{"listener", this->name},
                           {"address", printed},
                           {"reason", error.reason()}});
    }
    this->retry_timer.Start(kRetryInterval, [this] { this->Try(); });
    return;
  }
  this->opened = true;
  if (!this->logged_reason.empty()) {
    this->journal.Write(base::LogLevel::kInfo, "listening",
                        {{"listener", this->name}, {"address", printed}});
  }
  this->on_open();
}

}  // namespace carawayvalve::gateway
