#ifndef CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_
#define CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

// What the weight store says of one version of a model.
struct WeightAnswer {
  // Zero when the store asks to come back later.
  int64_t bytes = 0;
  // At least a second when `bytes` is zero.
  base::Milliseconds retry_after = base::Milliseconds(0);

  bool operator==(const WeightAnswer&) const = default;
};

// Adapter to the platform's rate-limited weight store.
class WeightStore {
 public:
  explicit WeightStore(std::string address);

  // Looks up one version of a model. Throws base::Error.
  WeightAnswer LookUp(const std::string& model, const std::string& version) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_
