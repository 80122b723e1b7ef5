#ifndef CARAWAYVALVE_CONFIG_SRC_WRITE_JSON_H_
#define CARAWAYVALVE_CONFIG_SRC_WRITE_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config::detail {

// Return every member, including defaults, in the order of the printed form.
nlohmann::ordered_json ToJson(const ClientAccount& account);
nlohmann::ordered_json ToJson(const Service& service);
nlohmann::ordered_json ToJson(const Route& route);
nlohmann::ordered_json ToJson(const EngineRule& rule);
nlohmann::ordered_json ToJson(const Limits& limits);
nlohmann::ordered_json ToJson(const Key& key);
nlohmann::ordered_json ToJson(const Declaration& declaration);

// Prints on one line if `indent` is -1. Replaces invalid UTF-8, which the
// checks reject.
std::string Dump(const nlohmann::ordered_json& value, int indent);

}  // namespace carawayvalve::config::detail

#endif  // CARAWAYVALVE_CONFIG_SRC_WRITE_JSON_H_
