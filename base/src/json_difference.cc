#include "carawayvalve/base/json_difference.h"

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::base {

using nlohmann::json;

namespace {

// The members of a difference: members that are replaced, names of members that
// are removed, and arrays made of parts of the former ones.
constexpr char kReplaced[] = "replaced";
constexpr char kRemoved[] = "removed";
constexpr char kSpliced[] = "spliced";
constexpr char kHash[] = "hash";

// A part of a spliced array: an object with a new element, or the first and the
// number of elements that are copied.
constexpr char kAdded[] = "added";

size_t HashOf(const json& value) {
  return std::hash<json>()(value);
}

// Builds the parts of an array in order.
class Splice {
 public:
  void Copy(size_t position) {
    if (this->count > 0 && this->first + this->count == position) {
      ++this->count;
      return;
    }
    this->EndRun();
    this->first = position;
    this->count = 1;
  }
  void Add(const json& element) {
    this->EndRun();
    this->parts.push_back({{kAdded, element}});
  }
  json Take() {
    this->EndRun();
    return std::move(this->parts);
  }

 private:
  void EndRun() {
    if (this->count > 0) {
      this->parts.push_back(json::array({this->first, this->count}));
      this->count = 0;
    }
  }

  json parts = json::array();
  size_t first = 0;
  size_t count = 0;
};

json SpliceBetween(const json& from, const json& to) {
  std::unordered_multimap<size_t, size_t> positions;
  Splice splice;
  size_t next = 0;
  for (const json& element : to) {
    if (next < from.size() && from[next] == element) {
      splice.Copy(next++);
      continue;
    }
    if (positions.empty()) {
      for (size_t i = 0; i < from.size(); ++i) {
        positions.emplace(HashOf(from[i]), i);
      }
    }
    const auto found = positions.find(HashOf(element));
    if (found != positions.end() && from[found->second] == element) {
      splice.Copy(found->second);
      next = found->second + 1;
    } else {
      splice.Add(element);
    }
  }
  return splice.Take();
}

json ApplySplice(const json& from, const json& parts) {
  json spliced = json::array();
  for (const json& part : parts) {
    if (part.is_object()) {
      spliced.push_back(part.at(kAdded));
      continue;
    }
    const auto first = part.at(0).get<size_t>();
    const auto count = part.at(1).get<size_t>();
    if (first > from.size() || count > from.size() - first ||
        count > kMaxForeignParts - spliced.size()) {
      throw Error("apply difference", "array", "it has other elements");
    }
    for (size_t i = first; i < first + count; ++i) {
      spliced.push_back(from[i]);
    }
  }
  return spliced;
}

json Apply(const json& from, const json& difference) {
  json result = difference.at(kReplaced);
  const json& spliced = difference.at(kSpliced);
  const json& removed = difference.at(kRemoved);
  for (const auto& [name, value] : from.items()) {
    if (spliced.contains(name)) {
      result[name] = ApplySplice(value, spliced[name]);
    } else if (!result.contains(name) && !removed.contains(name)) {
      result[name] = value;
    }
  }
  return result;
}

}  // namespace

json DifferenceBetween(const json& from, const json& to) {
  json replaced = json::object();
  json removed = json::object();
  json spliced = json::object();
  for (const auto& [name, value] : to.items()) {
    const auto before = from.find(name);
    if (before == from.end()) {
      replaced[name] = value;
    } else if (*before != value) {
      if (before->is_array() && value.is_array()) {
        spliced[name] = SpliceBetween(*before, value);
      } else {
        replaced[name] = value;
      }
    }
  }
  for (const auto& [name, value] : from.items()) {
    if (!to.contains(name)) {
      removed[name] = true;
    }
  }
  return {{kReplaced, std::move(replaced)},
          {kRemoved, std::move(removed)},
          {kSpliced, std::move(spliced)},
          {kHash, HashOf(to)}};
}

json ApplyDifference(const json& from, const json& difference) {
  json result;
  try {
    result = Apply(from, difference);
    if (HashOf(result) == difference.at(kHash).get<size_t>()) {
      return result;
    }
  } catch (const json::exception& error) {
    throw Error("apply difference", "object", error.what());
  }
  throw Error("apply difference", "object", "it is from another object");
}

}  // namespace carawayvalve::base
