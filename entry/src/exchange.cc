#include "exchange.h"

#include <algorithm>

namespace carawayvalve::entry {

void Exchange::SetHead(const ExchangeHead& head) {
  const std::lock_guard lock(this->mutex);
  if (!this->head) {
    this->head = head;
    this->ResumeReader();
  }
}

void Exchange::Append(const std::string& bytes) {
  const std::lock_guard lock(this->mutex);
  if (!this->ended && !this->disconnected) {
    this->buffer += bytes;
    this->ResumeReader();
  }
}

void Exchange::End(bool whole) {
  const std::lock_guard lock(this->mutex);
  if (!this->ended) {
    this->ended = true;
    this->whole = whole;
    this->ResumeReader();
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
  this->ResumeReader();
}

size_t Exchange::unsent_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->buffer.size() - this->sent;
}

bool Exchange::has_head() const {
  const std::lock_guard lock(this->mutex);
  return this->head.has_value();
}

bool Exchange::caller_disconnected() const {
  const std::lock_guard lock(this->mutex);
  return this->disconnected;
}

Exchange::TakeResult Exchange::TakeBytes(char* to,
                                         size_t max_bytes,
                                         const std::function<void()>& suspend,
                                         const std::function<void()>& resume) {
  const std::lock_guard lock(this->mutex);
  const size_t bytes = std::min(max_bytes, this->buffer.size() - this->sent);
  if (bytes > 0) {
    std::copy_n(this->buffer.data() + this->sent, bytes, to);
    this->sent += bytes;
    if (this->sent == this->buffer.size()) {
      this->buffer.clear();
      this->sent = 0;
    }
    return {.bytes = bytes};
  }
  if (this->ended) {
    return {.bytes = 0, .ended = true, .whole = this->whole};
  }
  this->SuspendReader(suspend, resume);
  return {};
}

std::optional<ExchangeHead> Exchange::Head(
    const std::function<void()>& suspend,
    const std::function<void()>& resume) {
  const std::lock_guard lock(this->mutex);
  if (!this->head) {
    this->SuspendReader(suspend, resume);
  }
  return this->head;
}

std::optional<std::string> Exchange::CompleteBody() const {
  const std::lock_guard lock(this->mutex);
  if (!this->ended || !this->whole || this->sent > 0) {
    return std::nullopt;
  }
  return this->buffer;
}

void Exchange::SetCallerDisconnected() {
  const std::lock_guard lock(this->mutex);
  this->disconnected = true;
  this->resume_reader = nullptr;
  this->buffer.clear();
  this->sent = 0;
}

void Exchange::ResumeReader() {
  if (this->resume_reader) {
    this->resume_reader();
    this->resume_reader = nullptr;
  }
}

void Exchange::SuspendReader(const std::function<void()>& suspend,
                             const std::function<void()>& resume) {
  // Under the lock, so that the resumption can't precede the suspension.
  suspend();
  this->resume_reader = resume;
}

}  // namespace carawayvalve::entry
