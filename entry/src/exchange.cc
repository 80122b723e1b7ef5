#include "exchange.h"

#include <algorithm>

namespace carawayvalve::entry {

void Exchange::SetHead(const ExchangeHead& head) {
  const std::lock_guard lock(this->mutex);
  if (!this->head) {
    this->head = head;
    this->Wake();
  }
}

void Exchange::Append(const std::string& bytes) {
  const std::lock_guard lock(this->mutex);
  if (!this->ended && !this->gone) {
    this->buffer += bytes;
    this->Wake();
  }
}

void Exchange::End(bool whole) {
  const std::lock_guard lock(this->mutex);
  if (!this->ended) {
    this->ended = true;
    this->whole = whole;
    this->Wake();
  }
}

void Exchange::Answer(const ExchangeHead& head, const std::string& body) {
  const std::lock_guard lock(this->mutex);
  if (this->ended || this->head) {
    return;
  }
  this->head = head;
  this->buffer = body;
  this->ended = true;
  this->whole = true;
  this->Wake();
}

size_t Exchange::unsent_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->buffer.size() - this->taken;
}

bool Exchange::has_head() const {
  const std::lock_guard lock(this->mutex);
  return this->head.has_value();
}

bool Exchange::caller_disconnected() const {
  const std::lock_guard lock(this->mutex);
  return this->gone;
}

Exchange::TakeResult Exchange::TakeBytes(char* to,
                               size_t most,
                               const std::function<void()>& suspend,
                               const std::function<void()>& resume) {
  const std::lock_guard lock(this->mutex);
  const size_t bytes = std::min(most, this->buffer.size() - this->taken);
  if (bytes > 0) {
    std::copy_n(this->buffer.data() + this->taken, bytes, to);
    this->taken += bytes;
    if (this->taken == this->buffer.size()) {
      this->buffer.clear();
      this->taken = 0;
    }
    return {.bytes = bytes};
  }
  if (this->ended) {
    return {.bytes = 0, .ended = true, .whole = this->whole};
  }
  this->Wait(suspend, resume);
  return {};
}

std::optional<ExchangeHead> Exchange::Head(
    const std::function<void()>& suspend,
    const std::function<void()>& resume) {
  const std::lock_guard lock(this->mutex);
  if (!this->head) {
    this->Wait(suspend, resume);
  }
  return this->head;
}

std::optional<std::string> Exchange::CompleteBody() const {
  const std::lock_guard lock(this->mutex);
  if (!this->ended || !this->whole || this->taken > 0) {
    return std::nullopt;
  }
  return this->buffer;
}

void Exchange::SetCallerDisconnected() {
  const std::lock_guard lock(this->mutex);
  this->gone = true;
  this->waiting = nullptr;
  this->buffer.clear();
  this->taken = 0;
}

void Exchange::Wake() {
  if (this->waiting) {
    this->waiting();
    this->waiting = nullptr;
  }
}

void Exchange::Wait(const std::function<void()>& suspend,
                    const std::function<void()>& resume) {
  // Under the lock, so that a wake can't come before the suspension.
  suspend();
  this->waiting = resume;
}

}  // namespace carawayvalve::entry
