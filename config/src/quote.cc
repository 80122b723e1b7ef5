#include "quote.h"

#include <nlohmann/json.hpp>

namespace carawayvalve::config::detail {

std::string Quote(const std::string& text) {
  constexpr size_t kMaxBytes = 80;
  const bool is_long = text.size() > kMaxBytes;
  // Truncation may split a UTF-8 character, which a strict dump rejects.
  return nlohmann::json(is_long ? text.substr(0, kMaxBytes) + "..." : text)
      .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace carawayvalve::config::detail
