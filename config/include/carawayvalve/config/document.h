#ifndef CARAWAYVALVE_CONFIG_DOCUMENT_H_
#define CARAWAYVALVE_CONFIG_DOCUMENT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace carawayvalve::config {

// Parses JSON with comments; the same as base::ParseJson.
nlohmann::json ParseDocument(const std::string& text,
                             const std::string& source);

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_DOCUMENT_H_
