#include "carawayvalve/core/event_content.h"

#include <algorithm>
#include <array>

namespace carawayvalve::core {

namespace {

constexpr std::array<std::string_view, 4> kEventFields = {"data", "event", "id",
                                                          "retry"};

}  // namespace

bool IsEventField(std::string_view name) {
  return std::find(kEventFields.begin(), kEventFields.end(), name) !=
         kEventFields.end();
}

EventContent ContentOf(std::string_view block) {
  if (block.starts_with(kByteOrderMark)) {
    block.remove_prefix(kByteOrderMark.size());
  }
  EventContent content = EventContent::kComments;
  while (!block.empty()) {
    const size_t end = std::min(block.find_first_of("\r\n"), block.size());
    const std::string_view line = block.substr(0, end);
    block.remove_prefix(std::min(end + 1, block.size()));
    const std::string_view name = line.substr(0, line.find(':'));
    if (IsEventField(name)) {
      return EventContent::kEvent;
    }
    // The name of a comment is empty.
    if (!name.empty()) {
      content = EventContent::kOther;
    }
  }
  return content;
}

}  // namespace carawayvalve::core
