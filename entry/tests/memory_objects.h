#ifndef CARAWAYVALVE_ENTRY_TESTS_MEMORY_OBJECTS_H_
#define CARAWAYVALVE_ENTRY_TESTS_MEMORY_OBJECTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/object_api.h"

namespace carawayvalve::entry {

// The fault injected into a call of PutSettled.
enum class PutFault {
  kNone,
  kAnswerLost,   // takes effect; the outcome is resolved by reading back
  kDoneUnknown,  // takes effect; the caller gets UnknownOutcomeError
  kNotDone,      // has no effect; the caller gets UnknownOutcomeError
};

// Implements the calls of systems::ObjectApi on objects in memory.
class MemoryObjects {
 public:
  // Runs before each call; may let other tasks run, or throw.
  std::function<void()> before_call = [] {};
  std::function<PutFault()> next_fault = [] { return PutFault::kNone; };

  std::optional<systems::Object> Get(const std::string& kind,
                                     const std::string& name) const {
    this->before_call();
    const auto found = this->objects.find({kind, name});
    return found == this->objects.end() ? std::nullopt
                                        : std::optional(found->second);
  }

  systems::ObjectList List(const std::string& kind) const {
    return this->Watch(kind, 0, base::Milliseconds(0));
  }

  systems::ObjectList Watch(const std::string& kind,
                            int64_t revision,
                            base::Milliseconds /*wait*/) const {
    this->before_call();
    systems::ObjectList list{this->revision, {}};
    for (const auto& [key, object] : this->objects) {
      if (key.first == kind && object.version > revision) {
        list.objects.push_back(object);
      }
    }
    return list;
  }

  systems::UpdateResult Delete(const std::string& kind,
                               const std::string& name,
                               int64_t if_version) const {
    this->before_call();
    if (this->VersionOf({kind, name}) != if_version) {
      return {false, this->VersionOf({kind, name})};
    }
    this->objects.erase({kind, name});
    ++this->revision;
    return {true, 0};
  }

  systems::UpdateResult PutAndConfirm(const std::string& kind,
                                      const std::string& name,
                                      const std::string& value,
                                      int64_t if_version) const {
    const PutFault fault = this->next_fault();
    if (fault == PutFault::kNotDone) {
      throw base::UnknownOutcomeError("put", "memory", "not done");
    }
    const systems::UpdateResult result =
        this->Put({kind, name}, value, if_version);
    if (fault == PutFault::kDoneUnknown) {
      throw base::UnknownOutcomeError("put", "memory", "hidden");
    }
    if (fault == PutFault::kNone) {
      return result;
    }
    const std::optional<systems::Object> found = this->Get(kind, name);
    const int64_t version = found.has_value() ? found->version : 0;
    return {found.has_value() && found->value == value, version};
  }

 private:
  using Key = std::pair<std::string, std::string>;

  int64_t VersionOf(const Key& key) const {
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
  }

  systems::UpdateResult Put(const Key& key,
                            const std::string& value,
                            int64_t if_version) const {
    this->before_call();
    if (this->VersionOf(key) != if_version) {
      return {false, this->VersionOf(key)};
    }
    this->objects[key] = {key.second, ++this->revision, value, false};
    return {true, this->revision};
  }

  // Mutable since the calls are const, like those of systems::ObjectApi.
  mutable std::map<Key, systems::Object> objects;
  mutable int64_t revision = 0;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_TESTS_MEMORY_OBJECTS_H_
