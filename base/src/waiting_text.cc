#include <algorithm>
#include <cstring>

#include "carawayvalve/base/crash_report.h"

namespace carawayvalve::base {

static_assert(std::atomic<size_t>::is_always_lock_free);

WaitingText::WaitingText(size_t capacity)
    : capacity(capacity), bytes(std::make_unique<char[]>(capacity)) {}

bool WaitingText::Append(std::string_view text) {
  if (this->view().size() + text.size() > this->capacity) {
    return false;
  }
  if (this->end + text.size() > this->capacity) {
    this->Compact();
  }
  const size_t old_end = this->end;
  std::memcpy(this->bytes.get() + old_end, text.data(), text.size());
  this->end = old_end + text.size();
  return true;
}

void WaitingText::Compact() {
  const std::string_view text = this->view();
  std::memmove(this->bytes.get(), text.data(), text.size());
  this->begin = 0;
  this->end = text.size();
}

void WaitingText::DropFront(size_t count) {
  this->begin += std::min(count, this->view().size());
}

std::string_view WaitingText::view() const {
  const size_t first = this->begin;
  const size_t last = this->end;
  return {this->bytes.get() + first, last > first ? last - first : 0};
}

}  // namespace carawayvalve::base
