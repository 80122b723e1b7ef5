#ifndef CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_
#define CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carawayvalve::core {

// Returns the id that a complete event carries, if any.
std::optional<std::string> EventIdOf(std::string_view event);

// Splits a stream of server-sent events into complete events, so that a caller
// never receives part of an event from a backend server that breaks off.
// Comments and empty lines before an event belong to it: alone they show
// nothing of an answer.
class ServerSentEventSplitter {
 public:
  // Returns whether a complete event belongs to the stream.
  using Accept = std::function<bool(std::string_view event)>;

  // Appends bytes of the stream and returns the events that are now complete,
  // up to the first that `accept` doesn't take; that and what follows remain.
  std::string Feed(
      std::string_view data,
      const Accept& accept = [](std::string_view) { return true; });
  // Returns and discards the incomplete event at the end of the stream, with
  // the comments before it.
  std::string TakeIncomplete();

  // The last id that a complete event carried, if any.
  const std::optional<std::string>& last_event_id() const { return this->id; }
  // Number of complete events so far.
  int64_t event_count() const { return this->count; }
  // The bytes after the last complete event.
  const std::string& incomplete() const { return this->pending; }

 private:
  void RecordEvent(std::string_view event);

  std::string pending;
  // The bytes of complete blocks of comments at the beginning of it.
  size_t comment_size = 0;
  std::optional<std::string> id;
  int64_t count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_
