#include "carawayvalve/core/change_log.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

size_t BytesOf(const ObjectChangeRange& range) {
  size_t bytes = 0;
  for (const ObjectChangeRecord& change : range.changes) {
    bytes += change.name.size() + change.value.size();
  }
  return bytes;
}

}  // namespace

void ChangeLog::Restart(const StoreRevision& revision) {
  this->ranges.clear();
  this->change_count = 0;
  this->byte_count = 0;
  this->begin = revision;
  this->end = revision;
}

void ChangeLog::Append(const ObjectChangeRange& range) {
  if (!this->begin.has_value()) {
    return;
  }
  this->end = std::max(this->end, range.revision);
  if (!range.changes.empty()) {
    this->ranges.push_back({this->end, range.changes});
    this->change_count += range.changes.size();
    this->byte_count += BytesOf(range);
  }
  while (this->change_count > this->max_changes ||
         this->byte_count > this->max_bytes) {
    this->begin = this->ranges.front().revision;
    this->change_count -= this->ranges.front().changes.size();
    this->byte_count -= BytesOf(this->ranges.front());
    this->ranges.pop_front();
  }
}

std::optional<ObjectChangeRange> ChangeLog::Since(
    const StoreRevision& revision) const {
  if (!this->begin.has_value() || !revision.Includes(*this->begin) ||
      !this->end.Includes(revision)) {
    return std::nullopt;
  }
  ObjectChangeRange found{this->end, {}};
  for (const ObjectChangeRange& range : this->ranges) {
    if (range.revision > revision) {
      found.changes.insert(found.changes.end(), range.changes.begin(),
                           range.changes.end());
    }
  }
  return found;
}

}  // namespace carawayvalve::core
