#ifndef CARAWAYVALVE_CONFIG_SRC_QUOTE_H_
#define CARAWAYVALVE_CONFIG_SRC_QUOTE_H_

#include <string>

namespace carawayvalve::config::detail {

// Returns `text` as a JSON string on one line, truncated when it is long.
std::string Quote(const std::string& text);

}  // namespace carawayvalve::config::detail

#endif  // CARAWAYVALVE_CONFIG_SRC_QUOTE_H_
