#ifndef CARAWAYVALVE_SYSTEMS_SRC_JSON_BODY_H_
#define CARAWAYVALVE_SYSTEMS_SRC_JSON_BODY_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::systems::detail {

// The call that a body belongs to; named in errors.
struct CallSite {
  std::string step;
  std::string peer;
};

// Throws base::UnreadableAnswerError, as a peer whose answer is unreadable may
// have carried out the call.
[[noreturn]] inline void ThrowUnreadable(const CallSite& site,
                                         const std::string& reason) {
  throw base::UnreadableAnswerError(site.step, site.peer, reason);
}

// Parses a peer's JSON. Throws base::UnknownOutcomeError when it can't be read.
inline nlohmann::json ParseBody(const CallSite& site, const std::string& body) {
  base::ForeignJson parsed = base::ParseForeignJson(body);
  if (!parsed.fault.empty()) {
    ThrowUnreadable(site, "the answer can't be read: " + parsed.fault);
  }
  return std::move(parsed.value);
}

// Serialises `body`. Throws base::NotReachedError when a string is not UTF-8,
// which JSON requires.
inline std::string DumpBody(const CallSite& site, const nlohmann::json& body) {
  try {
    return body.dump();
  } catch (const nlohmann::json::type_error&) {
    throw base::NotReachedError(site.step, site.peer,
                                "the request holds text that is not UTF-8");
  }
}

inline void ThrowIfAny(const CallSite& site,
                       const std::vector<base::Fault>& faults) {
  if (!faults.empty()) {
    ThrowUnreadable(site, "the answer's member " + faults.front().path + " " +
                              faults.front().reason);
  }
}

// Returns the result of `read(base::FieldReader&)` for `document`, the object
// at `path` of the answer. Members that `read` doesn't use are ignored. Throws
// base::UnknownOutcomeError when `read` finds invalid members.
template <typename Read>
auto ReadObject(const CallSite& site,
                const nlohmann::json& document,
                const Read& read,
                const std::string& path = "") {
  std::vector<base::Fault> faults;
  base::FieldReader fields(document, path, faults);
  auto value = read(fields);
  ThrowIfAny(site, faults);
  return value;
}

// Returns the array member `name`. Throws base::UnknownOutcomeError when the
// answer has none.
inline const nlohmann::json& RequireArray(const CallSite& site,
                                          const nlohmann::json& document,
                                          const std::string& name) {
  const auto found = document.find(name);
  if (found == document.end() || !found->is_array()) {
    ThrowUnreadable(site, "the answer has no array " + name);
  }
  return *found;
}

// Returns the results of `read(base::FieldReader&)` for the objects of the
// array `name`.
template <typename Read>
auto ReadArray(const CallSite& site,
               const nlohmann::json& document,
               const std::string& name,
               const Read& read) {
  const nlohmann::json& array = RequireArray(site, document, name);
  std::vector<decltype(ReadObject(site, array, read))> values;
  values.reserve(array.size());
  for (const nlohmann::json& element : array) {
    const std::string path = "/" + name + "/" + std::to_string(values.size());
    values.push_back(ReadObject(site, element, read, path));
  }
  return values;
}

// Returns the strings of the array `name`.
inline std::vector<std::string> ReadStrings(const CallSite& site,
                                            const nlohmann::json& document,
                                            const std::string& name) {
  RequireArray(site, document, name);
  return ReadObject(site, document, [&name](base::FieldReader& fields) {
    return fields.Strings(name);
  });
}

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_JSON_BODY_H_
