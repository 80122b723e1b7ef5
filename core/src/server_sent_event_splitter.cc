#include "carawayvalve/core/server_sent_event_splitter.h"

#include <algorithm>
#include <utility>

#include "carawayvalve/core/event_content.h"

namespace carawayvalve::core {

namespace {

constexpr std::string_view kIdField = "id:";
// The longest end of an event.
constexpr size_t kMaxEndBytes = 4;

// Returns the end of the first complete event at or after `from`, or npos if
// there is none.
size_t FindEventEnd(std::string_view text, size_t from) {
  const size_t plain = text.find("\n\n", from);
  const size_t crlf = text.find("\r\n\r\n", from);
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < crlf ? plain + 2 : crlf + 4;
}

}  // namespace

std::string ServerSentEventSplitter::Feed(std::string_view data,
                                          const Accept& accept) {
  // An event that never ends isn't searched again from its beginning.
  const size_t searched = this->pending.size() < kMaxEndBytes
                              ? 0
                              : this->pending.size() - kMaxEndBytes + 1;
  size_t block_begin = this->comment_size;
  const size_t begin = std::max(searched, block_begin);
  this->pending += data;
  size_t complete_size = 0;
  for (size_t end = FindEventEnd(this->pending, begin);
       end != std::string::npos; end = FindEventEnd(this->pending, end)) {
    const std::string_view text(this->pending);
    const std::string_view block = text.substr(block_begin, end - block_begin);
    if (ContentOf(block) == EventContent::kComments) {
      block_begin = end;
      continue;
    }
    const std::string_view event =
        text.substr(complete_size, end - complete_size);
    if (!accept(event)) {
      break;
    }
    this->RecordEvent(event);
    complete_size = block_begin = end;
  }
  this->comment_size = block_begin - complete_size;
  std::string events = this->pending.substr(0, complete_size);
  this->pending.erase(0, complete_size);
  return events;
}

std::string ServerSentEventSplitter::TakeIncomplete() {
  this->comment_size = 0;
  return std::exchange(this->pending, {});
}

void ServerSentEventSplitter::RecordEvent(std::string_view event) {
  ++this->count;
  if (auto event_id = EventIdOf(event)) {
    this->id = std::move(event_id);
  }
}

std::optional<std::string> EventIdOf(std::string_view event) {
  std::optional<std::string> id;
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    id = std::string(line);
  }
  return id;
}

}  // namespace carawayvalve::core
