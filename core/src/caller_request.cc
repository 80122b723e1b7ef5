#include "carawayvalve/core/caller_request.h"

#include <algorithm>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

namespace {

// Of records that others choose the names of, the number alone bounds nothing.
constexpr size_t kMaxSharedParts = 64;
constexpr size_t kMaxNameBytes = 128;

// Returns the name, or its hash if it is long.
std::string BoundedName(const std::string& name) {
  return name.size() <= kMaxNameBytes
             ? name
             : "#" + std::to_string(base::StableHash(name));
}

}  // namespace

int64_t BoundTokens(int64_t stated) {
  return std::clamp<int64_t>(stated, 0, kMaxPromptTokens);
}

std::vector<std::string> SharedPartsOf(const Prompt& prompt) {
  std::vector<std::string> parts;
  for (size_t i = 0; i + 1 < prompt.parts.size() && i < kMaxSharedParts; ++i) {
    parts.push_back(BoundedName(prompt.model.value + "/" + prompt.parts[i].id));
  }
  return parts;
}

}  // namespace carawayvalve::core
