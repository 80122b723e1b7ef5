#ifndef CARAWAYVALVE_CORE_SRC_STORED_JSON_H_
#define CARAWAYVALVE_CORE_SRC_STORED_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::core {

// Parses a text of `peer`. Throws base::Error when it can't be read; `step`
// names what reads it.
inline nlohmann::json ParseStoredJson(const std::string& step,
                                      const std::string& peer,
                                      const std::string& text) {
  base::ForeignJson parsed = base::ParseForeignJson(text);
  if (!parsed.fault.empty()) {
    throw base::Error(step, peer, parsed.fault);
  }
  return std::move(parsed.value);
}

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SRC_STORED_JSON_H_
