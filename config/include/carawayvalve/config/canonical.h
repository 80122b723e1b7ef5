#ifndef CARAWAYVALVE_CONFIG_CANONICAL_H_
#define CARAWAYVALVE_CONFIG_CANONICAL_H_

#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config {

// Return a copy with every array in its canonical order, so that equivalent
// values compare equal. Printing, storing and parsing use this form.
Declaration Canonical(const Declaration& declaration);
Configuration Canonical(const Configuration& configuration);

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_CANONICAL_H_
