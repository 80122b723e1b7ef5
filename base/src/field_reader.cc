#include "carawayvalve/base/field_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::base {

using nlohmann::json;

namespace {

constexpr int kMaxNesting = 32;

// Rejects documents that the JSON library accepts: deep nesting and duplicate
// members.
class ParseValidator {
 public:
  explicit ParseValidator(std::string source) : source(std::move(source)) {}

  void OnEvent(int depth, json::parse_event_t event, const json& value) {
    this->CountValue(event);
    switch (event) {
      case json::parse_event_t::object_start:
        this->members.emplace_back();
        this->CheckDepth(depth);
        break;
      case json::parse_event_t::array_start:
        this->CheckDepth(depth);
        break;
      case json::parse_event_t::key:
        this->CheckMember(value.get<std::string>());
        break;
      case json::parse_event_t::object_end:
        this->members.pop_back();
        break;
      default:
        break;
    }
  }

 private:
  void CountValue(json::parse_event_t event) {
    const bool begins_value = event == json::parse_event_t::value ||
                              event == json::parse_event_t::object_start ||
                              event == json::parse_event_t::array_start;
    this->values += begins_value ? 1 : 0;
    if (this->values > kMaxForeignValues) {
      throw Error(
          "parse JSON", this->source,
          "has more than " + std::to_string(kMaxForeignValues) + " values");
    }
  }

  void CheckDepth(int depth) const {
    if (depth > kMaxNesting) {
      throw Error("parse JSON", this->source,
                  "is nested deeper than " + std::to_string(kMaxNesting) +
                      " arrays and objects");
    }
  }

  void CheckMember(const std::string& name) {
    if (!this->members.back().insert(name).second) {
      throw Error("parse JSON", this->source,
                  "an object has the member \"" + name + "\" twice");
    }
  }

  std::string source;
  size_t values = 0;
  // The names of the members seen so far in each open object.
  std::vector<std::set<std::string>> members;
};

// Returns a scalar as JSON, and only the type of an array or object, which may
// be long.
std::string Describe(const json& value) {
  if (value.is_structured()) {
    return std::string("it is an ") + value.type_name();
  }
  return value.dump();
}

}  // namespace

json ParseJson(const std::string& text, const std::string& source) {
  ParseValidator validator(source);
  const auto on_event = [&](int depth, json::parse_event_t event, json& value) {
    validator.OnEvent(depth, event, value);
    return true;
  };
  try {
    return json::parse(text, on_event, true, true);
  } catch (const json::exception& error) {
    throw Error("parse JSON", source, error.what());
  }
}

FieldReader::FieldReader(const json& object,
                         std::string path,
                         std::vector<Fault>& faults)
    : object(object), path(std::move(path)), faults(faults) {
  if (!this->object.is_object()) {
    this->faults.push_back({this->path, "is not an object", "an object"});
  }
}

const json* FieldReader::Find(const std::string& name, bool required) {
  this->known.insert(name);
  if (this->object.is_object()) {
    const auto found = this->object.find(name);
    if (found != this->object.end()) {
      return &*found;
    }
    if (required) {
      this->AddFault(name, "is missing", "a value is required");
    }
  }
  return nullptr;
}

std::string FieldReader::String(
    const std::string& name,
    const std::optional<std::string>& default_value) {
  const json* value = this->Find(name, !default_value.has_value());
  if (value == nullptr) {
    return default_value.value_or("");
  }
  if (!value->is_string()) {
    this->AddFault(name, "is not a string", "a string");
    return "";
  }
  return value->get<std::string>();
}

int64_t FieldReader::Integer(const std::string& name,
                             int64_t min_value,
                             int64_t max_value,
                             const std::optional<int64_t>& default_value) {
  const json* value = this->Find(name, !default_value.has_value());
  if (value == nullptr) {
    return default_value.value_or(min_value);
  }
  const std::string allowed =
      std::to_string(min_value) + " to " + std::to_string(max_value);
  if (!value->is_number_integer()) {
    this->AddFault(name, "is not a whole number", allowed);
    return min_value;
  }
  const bool too_large =
      value->is_number_unsigned() &&
      value->get<uint64_t>() > static_cast<uint64_t>(max_value);
  if (too_large || value->get<int64_t>() < min_value ||
      value->get<int64_t>() > max_value) {
    this->AddFault(name, "is out of range: " + value->dump(), allowed);
    return min_value;
  }
  return value->get<int64_t>();
}

double FieldReader::Number(const std::string& name,
                           double min_value,
                           double max_value,
                           const std::optional<double>& default_value) {
  const json* value = this->Find(name, !default_value.has_value());
  if (value == nullptr) {
    return default_value.value_or(min_value);
  }
  const std::string allowed =
      json(min_value).dump() + " to " + json(max_value).dump();
  if (!value->is_number()) {
    this->AddFault(name, "is not a number", allowed);
    return min_value;
  }
  const auto number = value->get<double>();
  if (number < min_value || number > max_value) {
    this->AddFault(name, "is out of range: " + value->dump(), allowed);
    return min_value;
  }
  return number;
}

bool FieldReader::Boolean(const std::string& name,
                          const std::optional<bool>& default_value) {
  const json* value = this->Find(name, !default_value.has_value());
  if (value == nullptr) {
    return default_value.value_or(false);
  }
  if (!value->is_boolean()) {
    this->AddFault(name, "is not a boolean", "true or false");
    return false;
  }
  return value->get<bool>();
}

size_t FieldReader::Choice(const std::string& name,
                           const std::vector<std::string>& allowed,
                           const std::optional<size_t>& default_value) {
  const json* value = this->Find(name, !default_value.has_value());
  if (value == nullptr) {
    return default_value.value_or(0);
  }
  if (value->is_string()) {
    const auto found =
        std::find(allowed.begin(), allowed.end(), value->get<std::string>());
    if (found != allowed.end()) {
      return static_cast<size_t>(found - allowed.begin());
    }
  }
  std::string list;
  for (const std::string& word : allowed) {
    list += (list.empty() ? "" : ", ") + word;
  }
  this->AddFault(name, "is not one of the allowed values: " + Describe(*value),
                 list);
  return 0;
}

std::vector<std::string> FieldReader::Strings(const std::string& name) {
  std::vector<std::string> strings;
  const json& array = this->Array(name);
  for (size_t i = 0; i < array.size(); ++i) {
    if (!array[i].is_string()) {
      this->AddFault(name + "/" + std::to_string(i), "is not a string",
                     "a string");
      continue;
    }
    strings.push_back(array[i].get<std::string>());
  }
  return strings;
}

const json& FieldReader::Array(const std::string& name) {
  static const json kEmpty = json::array();
  const json* value = this->Find(name, false);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_array()) {
    this->AddFault(name, "is not an array", "an array");
    return kEmpty;
  }
  return *value;
}

const json& FieldReader::Object(const std::string& name) {
  static const json kEmpty = json::object();
  const json* value = this->Find(name, false);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_object()) {
    this->AddFault(name, "is not an object", "an object");
    return kEmpty;
  }
  return *value;
}

void FieldReader::AddFault(const std::string& name,
                           const std::string& reason,
                           const std::string& allowed) {
  this->faults.push_back({this->PathOf(name), reason, allowed});
}

void FieldReader::Finish() {
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& [name, value] : this->object.items()) {
    if (this->known.contains(name)) {
      continue;
    }
    std::string list;
    for (const std::string& word : this->known) {
      list += (list.empty() ? "" : ", ") + word;
    }
    this->AddFault(name, "is an unknown field", list);
  }
}

std::string FieldReader::PathOf(const std::string& name) const {
  return this->path + "/" + name;
}

void ThrowIfAny(const std::vector<Fault>& faults, const std::string& source) {
  if (faults.empty()) {
    return;
  }
  std::string text;
  for (const Fault& fault : faults) {
    text += "\n  " + (fault.path.empty() ? "/" : fault.path) + " " +
            fault.reason + "; allowed: " + fault.allowed;
  }
  throw Error("check", source,
              std::to_string(faults.size()) + " faults" + text);
}

}  // namespace carawayvalve::base
