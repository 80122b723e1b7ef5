#include "carawayvalve/core/caller_request.h"

namespace carawayvalve::core {

std::vector<std::string> SharedPartsOf(const Prompt& prompt) {
  std::vector<std::string> parts;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    parts.push_back(prompt.model.value + "/" + prompt.parts[i].id);
  }
  return parts;
}

}  // namespace carawayvalve::core
