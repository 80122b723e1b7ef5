#ifndef CARAWAYVALVE_SYSTEMS_OBJECT_API_H_
#define CARAWAYVALVE_SYSTEMS_OBJECT_API_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::systems {

// One object of the platform's Object API.
struct Object {
  std::string name;
  int64_t version = 0;
  std::string value;
  bool deleted = false;
  // The store's era at the answer, see ObjectApi::newest_era; 0 in lists.
  int64_t era = 0;

  bool operator==(const Object&) const = default;
};

struct ObjectList {
  // Revision of the whole store, from which a watch can continue.
  int64_t revision = 0;
  std::vector<Object> objects;

  bool operator==(const ObjectList&) const = default;
};

// The outcome of a conditional update.
struct UpdateResult {
  bool done = false;
  // The object's version after the call; 0 when the object is absent or when
  // the API omits the version for a refused Delete.
  int64_t version = 0;
  // The store's era at the answer to Put, see ObjectApi::newest_era.
  int64_t era = 0;

  bool operator==(const UpdateResult&) const = default;
};

// Adapter to the platform's Object API. Each method makes one call unless
// noted; calls that change an object are sent at most once. Methods throw
// base::NotReachedError when the API is not reached, base::UnknownOutcomeError
// when the answer is missing or unreadable, and base::Error when a value is too
// large. Thread-safe.
class ObjectApi {
 public:
  // `address` is host and port.
  explicit ObjectApi(std::string address,
                     base::Milliseconds timeout = base::Milliseconds(2000));

  // Returns the object, or nothing when it is absent.
  std::optional<Object> Get(const std::string& kind,
                            const std::string& name) const;
  ObjectList List(const std::string& kind) const;
  // Writes `value` if the object has version `if_version`; 0 creates the object
  // only if it is absent.
  UpdateResult Put(const std::string& kind,
                   const std::string& name,
                   const std::string& value,
                   int64_t if_version) const;
  // Deletes the object if it has version `if_version`.
  UpdateResult Delete(const std::string& kind,
                      const std::string& name,
                      int64_t if_version) const;
  // Waits up to `wait` for changes to objects of `kind` after `revision` and
  // returns the changed objects, including deleted ones.
  ObjectList Watch(const std::string& kind,
                   int64_t revision,
                   base::Milliseconds wait) const;

  // Like Put, but resolves an unknown outcome by reading the object back. The
  // update took effect if the object holds `value`, so values must be unique:
  // they carry their writer's name and a nonce. `done` is false when the object
  // holds another writer's value, which may also have replaced this one, or is
  // absent. Throws base::UnknownOutcomeError when the object can't be read or
  // still has `if_version`: the update may be in flight and take effect later.
  UpdateResult PutAndConfirm(const std::string& kind,
                             const std::string& name,
                             const std::string& value,
                             int64_t if_version) const;

  // Returns the highest era that an answer to Get or Put has named, 0 before
  // that. It rises each time that the store comes back from an older copy; an
  // answer of an earlier era counts as unreadable.
  int64_t newest_era() const { return *this->era; }

 private:
  // Returns the era that the answer names, 0 for none. Throws if it is an
  // earlier one.
  int64_t NoteEra(const std::string& step, const HttpResponse& response) const;

  std::string address;
  base::Milliseconds timeout;
  // Shared by copies.
  std::shared_ptr<std::atomic<int64_t>> era =
      std::make_shared<std::atomic<int64_t>>(0);
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_OBJECT_API_H_
