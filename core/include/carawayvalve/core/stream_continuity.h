#ifndef CARAWAYVALVE_CORE_STREAM_CONTINUITY_H_
#define CARAWAYVALVE_CORE_STREAM_CONTINUITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "carawayvalve/core/media_type.h"

namespace carawayvalve::core {

// Judges whether what the runs of a request answer forms one event stream. A
// backend server that goes on with a stream may answer with anything else, such
// as the text of an error under status 200; nothing of that may reach the
// caller, nor end the stream as if it were complete.
class StreamContinuity {
 public:
  // `after` is the last event that the caller has of an earlier answer.
  explicit StreamContinuity(const std::optional<std::string>& after = {})
      : last_id(after) {}

  // Judges the head of a successful answer of the next run; `content_type` is
  // its field, without which it counts as an event stream. Here and below:
  // returns why it isn't part of the stream, nothing if it is.
  std::optional<std::string> BeginRun(
      const std::optional<std::string>& content_type);
  // Judges the next event of the run, and counts it to the stream if it is one.
  // The first event of a run that goes on with the stream must follow the last
  // one before it. Whatever the first run sends in another format than events
  // belongs to its answer.
  std::optional<std::string> Accept(std::string_view event);
  // Judges the end of the run. A run that was to go on with the stream, but has
  // no event, doesn't show that the stream was complete.
  std::optional<std::string> EndRun() const;

  // Returns whether another run may go on with the stream.
  bool MayContinue() const {
    return !this->has_events ||
           (this->is_event_stream() && this->last_id.has_value());
  }

 private:
  std::optional<std::string> CheckId(const std::string& id) const;
  void NoteId(const std::string& id);

  bool is_event_stream() const { return this->type == kEventStreamType; }

  // The media type of the answer that was passed on first.
  std::string type = std::string(kEventStreamType);
  // Something was passed on to the caller: an event, or comments alone.
  bool has_begun = false;
  bool has_events = false;
  std::optional<std::string> last_id;
  // The run goes on with events that were passed on.
  bool continues = false;
  bool run_has_events = false;
  // By how much the ids of consecutive events differ; nothing while it isn't
  // known or not always the same.
  std::optional<int64_t> step;
  bool steps_differ = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STREAM_CONTINUITY_H_
