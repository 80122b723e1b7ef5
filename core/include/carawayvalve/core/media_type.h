#ifndef CARAWAYVALVE_CORE_MEDIA_TYPE_H_
#define CARAWAYVALVE_CORE_MEDIA_TYPE_H_

#include <string>
#include <string_view>

namespace carawayvalve::core {

inline constexpr std::string_view kEventStreamType = "text/event-stream";

// Returns the media type of a content type in lowercase, without parameters.
std::string MediaTypeOf(std::string_view content_type);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_MEDIA_TYPE_H_
