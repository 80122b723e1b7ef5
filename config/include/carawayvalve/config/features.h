#ifndef CARAWAYVALVE_CONFIG_FEATURES_H_
#define CARAWAYVALVE_CONFIG_FEATURES_H_

namespace carawayvalve::config {

// What a deployment asks of its gateways beyond what all deployments get.
struct Features {
  // Load exceeds the capacity at times, and backend servers share their hosts
  // with other work.
  bool contention = false;

  bool operator==(const Features&) const = default;
};

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_FEATURES_H_
