#ifndef CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_
#define CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayvalve::core {

// Judges whether an answer is complete whose transfer ended without an error. A
// backend server that crashes may close its connection in order, which also
// ends a body that has neither a length nor chunks. An event stream is complete
// only between two events.
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

  // Reads the next bytes of the body.
  void Feed(std::string_view data);

  // Returns why the body read so far isn't complete, nothing if it is.
  std::optional<std::string> Fault() const;

 private:
  void EndLine();

  bool is_event_stream = false;
  bool ends_with_connection = false;
  // The event being read has a line that isn't a comment.
  bool event_begun = false;
  bool event_ended = false;
  // The line being read.
  bool line_begun = false;
  bool line_is_comment = false;
  bool last_was_cr = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ANSWER_COMPLETENESS_H_
