#include "carawayvalve/core/answer_completeness.h"

#include <utility>

#include "carawayvalve/core/event_content.h"
#include "carawayvalve/core/media_type.h"

namespace carawayvalve::core {

namespace {

// What an event stream may send between two events.
constexpr size_t kMaxBytesBesideEvents = size_t{64} * 1024;
// More than the name of any field, with a byte order mark.
constexpr size_t kMaxNameBytes = 10;

}  // namespace

AnswerCompleteness::AnswerCompleteness(
    const std::optional<std::string>& content_type,
    bool expects_events,
    bool ends_with_connection)
    : event_stream(content_type.has_value()
                       ? MediaTypeOf(*content_type) == kEventStreamType
                       : expects_events),
      ends_with_connection(ends_with_connection) {}

void AnswerCompleteness::SetMaxHeldBytes(size_t bytes, bool passes_on) {
  this->max_held_bytes = bytes;
  this->passes_events_on = passes_on;
}

bool AnswerCompleteness::Feed(std::string_view data) {
  this->held_bytes += data.size();
  if (!this->event_stream) {
    return !data.empty();
  }
  bool got_event = false;
  for (const char byte : data) {
    if (!this->has_field &&
        ++this->bytes_beside_events > kMaxBytesBesideEvents) {
      this->too_much_beside_events = true;
    }
    // The LF of CR LF ends no further line.
    const bool within_line_end = byte == '\n' && this->last_was_cr;
    this->last_was_cr = byte == '\r';
    if (within_line_end) {
      continue;
    }
    if (byte == '\r' || byte == '\n') {
      got_event = this->EndLine() || got_event;
    } else {
      this->ReadInLine(byte);
    }
  }
  if (got_event && this->passes_events_on) {
    this->held_bytes = 0;
  }
  return got_event;
}

void AnswerCompleteness::ReadInLine(char byte) {
  if (!this->line_begun) {
    this->line_begun = true;
    this->line_is_comment = byte == ':';
  }
  if (byte == ':') {
    this->NoteName();
  } else if (!this->name_read && this->name.size() < kMaxNameBytes) {
    this->name += byte;
  }
}

void AnswerCompleteness::NoteName() {
  if (this->name_read) {
    return;
  }
  this->name_read = true;
  std::string_view field = this->name;
  if (this->first_line && field.starts_with(kByteOrderMark)) {
    field.remove_prefix(kByteOrderMark.size());
  }
  this->has_field = this->has_field || IsEventField(field);
}

// An empty line ends the event.
bool AnswerCompleteness::EndLine() {
  bool got_event = false;
  if (!this->line_begun) {
    got_event = std::exchange(this->has_field, false);
    if (got_event) {
      this->bytes_beside_events = 0;
    }
    this->event_ended = this->event_ended || got_event;
    this->event_begun = false;
  } else {
    this->NoteName();
    this->event_begun = this->event_begun || !this->line_is_comment;
  }
  this->first_line = false;
  this->line_begun = false;
  this->name_read = false;
  this->name.clear();
  return got_event;
}

std::optional<std::string> AnswerCompleteness::FaultSoFar() const {
  if (this->too_much_beside_events) {
    return "the stream goes on without an event";
  }
  if (this->held_bytes > this->max_held_bytes) {
    return "the answer is too long";
  }
  return std::nullopt;
}

std::optional<std::string> AnswerCompleteness::Fault() const {
  if (!this->event_stream) {
    return std::nullopt;
  }
  if (this->event_begun || this->line_begun) {
    return "the stream ended inside an event";
  }
  if (this->ends_with_connection && !this->event_ended) {
    return "the connection closed before the first event";
  }
  return std::nullopt;
}

}  // namespace carawayvalve::core
