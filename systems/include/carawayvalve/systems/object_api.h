#ifndef CARAWAYVALVE_SYSTEMS_OBJECT_API_H_
#define CARAWAYVALVE_SYSTEMS_OBJECT_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

// One object of the platform's Object API.
struct Object {
  std::string name;
  int64_t version = 0;
  std::string value;
  bool deleted = false;

  bool operator==(const Object&) const = default;
};

struct ObjectList {
  // Of the whole store; a watch goes on from here.
  int64_t revision = 0;
  std::vector<Object> objects;

  bool operator==(const ObjectList&) const = default;
};

// How a conditional update ended.
struct UpdateResult {
  bool done = false;
  // The object's version afterwards; 0 when it is absent, and when the API
  // doesn't say for a refused Delete.
  int64_t version = 0;

  bool operator==(const UpdateResult&) const = default;
};

// Adapter to the platform's Object API. Each member makes one call, sent at
// most once if it changes anything. It throws base::NotReachedError when the
// API wasn't reached, base::UnknownOutcomeError when it gave no answer or none
// that can be read, and base::Error when a value is too large.
// Safe to call from several threads.
class ObjectApi {
 public:
  // `address` is host and port.
  explicit ObjectApi(std::string address,
                     base::Milliseconds timeout = base::Milliseconds(2000));

  std::optional<Object> Get(const std::string& kind,
                            const std::string& name) const;
  ObjectList List(const std::string& kind) const;
  // `if_version` 0 creates the object only if it is absent.
  UpdateResult Put(const std::string& kind,
                   const std::string& name,
                   const std::string& value,
                   int64_t if_version) const;
  UpdateResult Delete(const std::string& kind,
                      const std::string& name,
                      int64_t if_version) const;
  // Waits up to `wait` for objects of the kind written after `revision`.
  ObjectList Watch(const std::string& kind,
                   int64_t revision,
                   base::Milliseconds wait) const;

  // Like Put, but settles a lost answer by reading the object back: it took
  // effect if the value is this one, so values must carry their writer's name
  // and a nonce. `done` is false when another writer's value is there, which
  // may also have replaced this one. Throws base::UnknownOutcomeError when the
  // object can't be read, and when it still has `if_version`: the update may
  // be under way and take effect later.
  UpdateResult PutAndConfirm(const std::string& kind,
                          const std::string& name,
                          const std::string& value,
                          int64_t if_version) const;

 private:
  std::string Url(const std::string& path) const;

  std::string address;
  base::Milliseconds timeout;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_OBJECT_API_H_
