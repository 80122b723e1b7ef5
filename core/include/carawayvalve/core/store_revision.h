#ifndef CARAWAYVALVE_CORE_STORE_REVISION_H_
#define CARAWAYVALVE_CORE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace carawayvalve::core {

// A later era can't be meant: no store comes back so often.
inline constexpr int64_t kMaxStoreEra = 1'000'000'000;

// A state of the platform's store. Each time that the store comes back from an
// older copy its era rises, while its revisions go back and are given out
// again: revisions count within one era only, and any revision of a later era
// is a later one.
struct StoreRevision {
  // 0 if the store doesn't say it.
  int64_t era = 0;
  // 0 before the first answer.
  int64_t revision = 0;

  auto operator<=>(const StoreRevision&) const = default;

  // Returns whether who has received this has also received `other`. Of another
  // era nothing is known.
  bool Includes(const StoreRevision& other) const {
    return this->era == other.era && this->revision >= other.revision;
  }
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STORE_REVISION_H_
