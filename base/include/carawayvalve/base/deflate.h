#ifndef CARAWAYVALVE_BASE_DEFLATE_H_
#define CARAWAYVALVE_BASE_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace carawayvalve::base {

// Compresses text by raw DEFLATE (RFC 1951).
std::string Deflate(std::string_view text);

// Returns nothing when `data` isn't complete or its text is longer than
// `max_bytes`.
std::optional<std::string> Inflate(std::string_view data, size_t max_bytes);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_DEFLATE_H_
