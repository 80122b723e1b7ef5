#ifndef CARAWAYVALVE_CONFIG_SRC_READ_JSON_H_
#define CARAWAYVALVE_CONFIG_SRC_READ_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config::detail {

// Each reads one part of a document and records every fault in a field; checks
// between items are in cross_checks.h. Items keep the order of the document.
Declaration ReadDeclaration(const nlohmann::json& document,
                            const std::string& path,
                            std::vector<base::Fault>& faults);
std::vector<Key> ReadKeys(const nlohmann::json& array,
                          const std::string& path,
                          std::vector<base::Fault>& faults);

}  // namespace carawayvalve::config::detail

#endif  // CARAWAYVALVE_CONFIG_SRC_READ_JSON_H_
