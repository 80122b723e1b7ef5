#include "carawayvalve/config/patch.h"

#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/config/json.h"

namespace carawayvalve::config {

namespace {

using nlohmann::json;

// Members that identify an array's elements; the first one present is used.
constexpr const char* kNameMembers[] = {"sha256", "name", "service"};
constexpr char kDigestMember[] = "digest";
constexpr char kOperationsMember[] = "operations";

std::string NameOf(const json& element) {
  for (const char* member : kNameMembers) {
    if (element.is_object() && element.contains(member)) {
      return element[member].get<std::string>();
    }
  }
  return "";
}

bool HasNames(const json& array) {
  for (const json& element : array) {
    if (NameOf(element).empty()) {
      return false;
    }
  }
  return !array.empty();
}

// Turns arrays of named elements into objects, so that adding or removing an
// element doesn't change the paths of the others.
json ArraysToObjects(const json& value) {
  json keyed = json::object();
  if (value.is_array() && HasNames(value)) {
    for (const json& element : value) {
      keyed[NameOf(element)] = element;
    }
    return keyed;
  }
  if (!value.is_object()) {
    return value;
  }
  for (const auto& [name, member] : value.items()) {
    keyed[name] = ArraysToObjects(member);
  }
  return keyed;
}

// Whether ArraysToObjects turns the array of this name into an object.
bool IsKeyedArray(const std::string& name) {
  return name == "client_accounts" || name == "services" || name == "routes" ||
         name == "engine_rules" || name == "keys";
}

json ObjectsToArrays(const std::string& name, const json& value) {
  if (IsKeyedArray(name) && value.is_object()) {
    json array = json::array();
    for (const auto& [key, element] : value.items()) {
      array.push_back(element);
    }
    return array;
  }
  if (!value.is_object()) {
    return value;
  }
  json unkeyed = json::object();
  for (const auto& [member_name, member] : value.items()) {
    unkeyed[member_name] = ObjectsToArrays(member_name, member);
  }
  return unkeyed;
}

json KeyedForm(const Configuration& configuration) {
  return ArraysToObjects(json::parse(PrintConfiguration(configuration)));
}

}  // namespace

std::string PatchBetween(const Configuration& from, const Configuration& to) {
  return json({{kDigestMember, Digest(to)},
               {kOperationsMember, json::diff(KeyedForm(from), KeyedForm(to))}})
      .dump();
}

Configuration ApplyPatch(const Configuration& from, const std::string& patch) {
  Configuration to;
  std::string digest;
  try {
    const base::ForeignJson parsed = base::ParseForeignJson(patch);
    if (!parsed.fault.empty()) {
      throw base::Error("apply patch", "configuration", parsed.fault);
    }
    const json& document = parsed.value;
    document.at(kDigestMember).get_to(digest);
    const json keyed = KeyedForm(from).patch(document.at(kOperationsMember));
    to = ParseConfiguration(ObjectsToArrays("", keyed).dump(), "patch");
  } catch (const json::exception& error) {
    throw base::Error("apply patch", "configuration", error.what());
  }
  if (Digest(to) != digest) {
    throw base::Error("apply patch", "configuration",
                      "the result's digest doesn't match the patch's");
  }
  return to;
}

}  // namespace carawayvalve::config
