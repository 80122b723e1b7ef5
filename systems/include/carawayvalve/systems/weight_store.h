#ifndef CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_
#define CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

// The weight store's answer about one version of a model.
struct WeightAnswer {
  // Size of the weights; zero when the store is rate limiting this client.
  int64_t bytes = 0;
  // Time to wait before the next attempt; at least a second when `bytes` is
  // zero.
  base::Milliseconds retry_after = base::Milliseconds(0);

  bool operator==(const WeightAnswer&) const = default;
};

// Adapter to the platform's rate-limited weight store.
class WeightStore {
 public:
  explicit WeightStore(std::string address);

  // Looks up one version of a model. Throws base::Error when the store can't be
  // reached or its answer is not valid.
  WeightAnswer LookUp(const std::string& model,
                      const std::string& version) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_WEIGHT_STORE_H_
