#include "carawayvalve/core/entry_name.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

constexpr size_t kMaxPrintedBytes = 100;

bool IsInName(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' ||
         byte == '_' || byte == '~';
}

}  // namespace

bool IsEntryName(std::string_view name) {
  return std::all_of(name.begin(), name.end(), IsInName) &&
         name.find_first_not_of('.') != std::string_view::npos;
}

std::string PrintableName(std::string_view name) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string printed;
  for (const char byte : name.substr(0, kMaxPrintedBytes)) {
    if (byte >= ' ' && byte <= '~' && byte != '\\') {
      printed += byte;
    } else {
      const auto value = static_cast<unsigned char>(byte);
      printed += {'\\', 'x', kDigits[value / 16], kDigits[value % 16]};
    }
  }
  return name.size() <= kMaxPrintedBytes
             ? printed
             : printed + "... (" + std::to_string(name.size()) + " bytes)";
}

}  // namespace carawayvalve::core
