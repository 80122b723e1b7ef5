#ifndef CARAWAYVALVE_CORE_EVENT_CONTENT_H_
#define CARAWAYVALVE_CORE_EVENT_CONTENT_H_

#include <string_view>

namespace carawayvalve::core {

// May stand before the first event of a stream.
inline constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

enum class EventContent { kOther, kComments, kEvent };

// Returns whether a line of this name is a field of server-sent events.
bool IsEventField(std::string_view name);

// Returns what a block of lines is to a reader of events: an event if it has a
// field, comments if it has nothing but comments and empty lines.
EventContent ContentOf(std::string_view block);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_EVENT_CONTENT_H_
