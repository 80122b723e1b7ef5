#include "configuration_objects.h"

namespace carawayvalve::entry {

ConflictError::ConflictError(int64_t generation)
    : base::Error("change configuration",
                  detail::kStoreName,
                  "another change came first: generation " +
                      std::to_string(generation) + " is in force"),
      other_generation(generation) {}

namespace detail {

WatchPosition WatchState::Take() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->position, {});
}

void WatchState::Put(const WatchPosition& seen) {
  const std::lock_guard lock(this->mutex);
  this->position = seen;
}

}  // namespace detail

}  // namespace carawayvalve::entry
