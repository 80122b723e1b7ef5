#ifndef CARAWAYVALVE_CORE_CHANGE_LOG_H_
#define CARAWAYVALVE_CORE_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/core/store_revision.h"

namespace carawayvalve::core {

// A change of an object in the platform's store.
struct ObjectChangeRecord {
  std::string name;
  // The object's revision; of a removed one it may be that of an earlier
  // change.
  int64_t revision = 0;
  bool removed = false;
  // The object's value as JSON.
  std::string value;

  bool operator==(const ObjectChangeRecord&) const = default;
};

// All changes after some revision of the store, in order.
struct ObjectChangeRange {
  // The revision up to which these are all changes.
  StoreRevision revision;
  std::vector<ObjectChangeRecord> changes;

  bool operator==(const ObjectChangeRange&) const = default;
};

// The latest changes of one kind of objects, for peers that lack them: what one
// process has received from the store needn't be fetched from there again.
class ChangeLog {
 public:
  // Holds at most `max_changes`, whose names and values have at most
  // `max_bytes`.
  explicit ChangeLog(size_t max_changes = 256,
                     size_t max_bytes = size_t{2} * 1024 * 1024)
      : max_changes(max_changes), max_bytes(max_bytes) {}

  // Forgets all changes, as a complete list of the objects was received, which
  // includes all changes up to `revision`.
  void Restart(const StoreRevision& revision);
  // Adds all changes from the end of the log to `range.revision`.
  void Append(const ObjectChangeRange& range);

  // Returns all changes after `revision`, or nothing if the log begins later or
  // hasn't got that far, or is of another era. Changes before `revision` may
  // come first: they are kept in the ranges in which they were received.
  std::optional<ObjectChangeRange> Since(const StoreRevision& revision) const;

 private:
  size_t max_changes;
  size_t max_bytes;
  // The log holds all changes after the one and up to the other revision.
  std::optional<StoreRevision> begin;
  StoreRevision end;
  std::deque<ObjectChangeRange> ranges;
  size_t change_count = 0;
  size_t byte_count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CHANGE_LOG_H_
