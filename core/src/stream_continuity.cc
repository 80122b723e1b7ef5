#include "carawayvalve/core/stream_continuity.h"

#include <charconv>

#include "carawayvalve/core/event_content.h"
#include "carawayvalve/core/media_type.h"
#include "carawayvalve/core/server_sent_event_splitter.h"

namespace carawayvalve::core {

namespace {

std::optional<int64_t> NumberOf(std::string_view id) {
  int64_t number = 0;
  const char* end = id.data() + id.size();
  const auto read = std::from_chars(id.data(), end, number);
  return read.ec == std::errc() && read.ptr == end && number >= 0
             ? std::optional(number)
             : std::nullopt;
}

}  // namespace

std::optional<std::string> StreamContinuity::BeginRun(
    const std::optional<std::string>& content_type) {
  const std::string run_type = content_type.has_value()
                                   ? MediaTypeOf(*content_type)
                                   : std::string(kEventStreamType);
  this->continues = this->has_events;
  this->run_has_events = false;
  if (!this->has_begun) {
    this->type = run_type;
    return std::nullopt;
  }
  return run_type == this->type
             ? std::nullopt
             : std::optional<std::string>(
                   "the continued stream has another content type");
}

std::optional<std::string> StreamContinuity::Accept(std::string_view event) {
  if (!this->is_event_stream()) {
    this->has_begun = this->has_events = true;
    return std::nullopt;
  }
  const EventContent content = ContentOf(event);
  if (content == EventContent::kOther) {
    return "the stream holds something that isn't an event";
  }
  if (content == EventContent::kComments) {
    this->has_begun = true;
    return std::nullopt;
  }
  const auto id = EventIdOf(event);
  if (this->continues && !this->run_has_events && !id.has_value()) {
    return "the continued stream begins without an id";
  }
  if (id.has_value() && (this->continues || !this->run_has_events)) {
    if (auto fault = this->CheckId(*id)) {
      return fault;
    }
  }
  this->has_begun = this->has_events = this->run_has_events = true;
  if (id.has_value()) {
    this->NoteId(*id);
  }
  return std::nullopt;
}

std::optional<std::string> StreamContinuity::CheckId(
    const std::string& id) const {
  if (!this->last_id.has_value()) {
    return std::nullopt;
  }
  const auto last = NumberOf(*this->last_id);
  const auto next = NumberOf(id);
  if (!last.has_value() || !next.has_value()) {
    return id == *this->last_id
               ? std::optional<std::string>("an event comes again")
               : std::nullopt;
  }
  if (*next <= *last) {
    return "events come again";
  }
  if (this->step.has_value() && !this->steps_differ &&
      *next - *last != *this->step) {
    return "events are missing";
  }
  return std::nullopt;
}

void StreamContinuity::NoteId(const std::string& id) {
  const auto next = NumberOf(id);
  const auto last = this->last_id.has_value() ? NumberOf(*this->last_id)
                                              : std::optional<int64_t>(0);
  // Ids that begin with 1 count the events.
  const bool counts = this->last_id.has_value() || next == 1;
  if (next.has_value() && last.has_value() && counts) {
    const int64_t difference = *next - *last;
    this->steps_differ =
        this->steps_differ || this->step.value_or(difference) != difference;
    this->step = difference;
  }
  this->last_id = id;
}

std::optional<std::string> StreamContinuity::EndRun() const {
  return this->continues && !this->run_has_events
             ? std::optional<std::string>(
                   "the continued stream ended without an event")
             : std::nullopt;
}

}  // namespace carawayvalve::core
