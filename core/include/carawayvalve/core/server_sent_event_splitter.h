#ifndef CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_
#define CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace carawayvalve::core {

// Cuts a stream of server-sent events into whole events, so that a caller
// never gets a part of one from a backend server that breaks off.
class ServerSentEventSplitter {
 public:
  // Adds bytes of the stream. Returns the events that are complete now.
  std::string Feed(std::string_view data);
  // Returns the incomplete event, and forgets it.
  std::string TakeIncomplete();

  // The id of the last whole event, if any had one.
  const std::optional<std::string>& last_event_id() const { return this->id; }
  // Whole events so far.
  int64_t event_count() const { return this->count; }

 private:
  void NoteEvent(std::string_view event);

  std::string pending;
  std::optional<std::string> id;
  int64_t count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SERVER_SENT_EVENT_SPLITTER_H_
