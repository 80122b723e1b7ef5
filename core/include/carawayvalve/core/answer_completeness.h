#ifndef CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_
#define CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace carawayvalve::core {

// Judges whether an answer is complete whose transfer ended without an error. A
// backend server that crashes may close its connection in order, which also
// ends a body that has neither a length nor chunks. An event stream is complete
// only between two events. What it sends beside events, such as comments, isn't
// an answer.
class AnswerCompleteness {
 public:
  // Any body is complete.
  AnswerCompleteness() = default;

  // `content_type` is the value of the answer's field, if it has one;
  // `expects_events` applies to answers without it. `ends_with_connection` says
  // that the body has neither a length nor chunks.
  AnswerCompleteness(const std::optional<std::string>& content_type,
                     bool expects_events,
                     bool ends_with_connection);

  // Reads the next bytes of the body. Returns whether they bring the answer on:
  // any bytes do, but those of an event stream only with the end of an event.
  bool Feed(std::string_view data);

  // Bounds what is held of the answer: all of its body or, if its events are
  // passed on one by one, an event.
  void SetMaxHeldBytes(size_t bytes, bool passes_events_on);
  // Returns why the body can't become complete any more, nothing if it can.
  std::optional<std::string> FaultSoFar() const;
  // Returns why the body, if it ends here, isn't complete, nothing if it is.
  std::optional<std::string> Fault() const;

  bool is_event_stream() const { return this->event_stream; }

 private:
  // Returns whether the line ends an event.
  bool EndLine();
  void ReadInLine(char byte);
  void NoteName();

  bool event_stream = false;
  bool ends_with_connection = false;
  // The event being read has a line that isn't a comment.
  bool event_begun = false;
  // It has a field.
  bool has_field = false;
  bool event_ended = false;
  // Received since the last event, and before a field of the next one.
  size_t bytes_beside_events = 0;
  bool too_much_beside_events = false;
  // Received of the body or, if events are passed on, of the current one.
  size_t held_bytes = 0;
  size_t max_held_bytes = std::numeric_limits<size_t>::max();
  bool passes_events_on = false;
  // The line being read.
  bool line_begun = false;
  bool line_is_comment = false;
  bool name_read = false;
  // Its first bytes before a colon.
  std::string name;
  bool first_line = true;
  bool last_was_cr = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_
