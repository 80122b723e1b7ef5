#include "carawayvalve/core/media_type.h"

#include <algorithm>
#include <cctype>

namespace carawayvalve::core {

std::string MediaTypeOf(std::string_view content_type) {
  const size_t begin = content_type.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "";
  }
  content_type.remove_prefix(begin);
  std::string type(content_type.substr(0, content_type.find_first_of("; \t")));
  std::transform(type.begin(), type.end(), type.begin(),
                 [](unsigned char byte) { return std::tolower(byte); });
  return type;
}

}  // namespace carawayvalve::core
