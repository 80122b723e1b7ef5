#include "carawayvalve/config/document.h"

#include <nlohmann/json.hpp>

#include "carawayvalve/base/field_reader.h"

namespace carawayvalve::config {

nlohmann::json ParseDocument(const std::string& text,
                             const std::string& source) {
  return base::ParseJson(text, source);
}

}  // namespace carawayvalve::config
