#ifndef CARAWAYVALVE_CONFIG_PATCH_H_
#define CARAWAYVALVE_CONFIG_PATCH_H_

#include <string>

#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config {

// Returns a patch that turns `from` into `to`. Its size is proportional to the
// change, not to the configuration.
std::string PatchBetween(const Configuration& from, const Configuration& to);

// Throws base::Error when the patch is malformed or was made for another
// configuration than `from`.
Configuration ApplyPatch(const Configuration& from, const std::string& patch);

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_PATCH_H_
