#include "carawayvalve/core/answer_completeness.h"

#include "carawayvalve/core/media_type.h"

namespace carawayvalve::core {

AnswerCompleteness::AnswerCompleteness(
    const std::optional<std::string>& content_type,
    bool expects_events,
    bool ends_with_connection)
    : is_event_stream(content_type.has_value()
                          ? MediaTypeOf(*content_type) == kEventStreamType
                          : expects_events),
      ends_with_connection(ends_with_connection) {}

void AnswerCompleteness::Feed(std::string_view data) {
  if (!this->is_event_stream) {
    return;
  }
  for (const char byte : data) {
    // The LF of CR LF ends no further line.
    const bool within_line_end = byte == '\n' && this->last_was_cr;
    this->last_was_cr = byte == '\r';
    if (within_line_end) {
      continue;
    }
    if (byte == '\r' || byte == '\n') {
      this->EndLine();
      continue;
    }
    if (!this->line_begun) {
      this->line_begun = true;
      this->line_is_comment = byte == ':';
    }
  }
}

// An empty line ends the event.
void AnswerCompleteness::EndLine() {
  if (!this->line_begun) {
    this->event_ended = this->event_ended || this->event_begun;
    this->event_begun = false;
  } else if (!this->line_is_comment) {
    this->event_begun = true;
  }
  this->line_begun = false;
}

std::optional<std::string> AnswerCompleteness::Fault() const {
  if (!this->is_event_stream) {
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
