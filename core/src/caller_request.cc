#include "carawayvalve/core/caller_request.h"

#include <algorithm>

namespace carawayvalve::core {

int64_t BoundTokens(int64_t stated) {
  return std::clamp<int64_t>(stated, 0, kMaxPromptTokens);
}

std::vector<std::string> SharedPartsOf(const Prompt& prompt) {
  std::vector<std::string> parts;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    parts.push_back(prompt.model.value + "/" + prompt.parts[i].id);
  }
  return parts;
}

}  // namespace carawayvalve::core
