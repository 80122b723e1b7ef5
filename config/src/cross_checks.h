#ifndef CARAWAYVALVE_CONFIG_SRC_CROSS_CHECKS_H_
#define CARAWAYVALVE_CONFIG_SRC_CROSS_CHECKS_H_

#include <string>
#include <vector>

#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config::detail {

// Record inconsistencies between the items of a document whose fields have been
// read. Empty names are skipped, since they have a fault of their own.
void CrossCheck(const Declaration& declaration,
                const std::string& path,
                std::vector<base::Fault>& faults);
void CrossCheckKeys(const Configuration& configuration,
                    const std::string& path,
                    std::vector<base::Fault>& faults);

}  // namespace carawayvalve::config::detail

#endif  // CARAWAYVALVE_CONFIG_SRC_CROSS_CHECKS_H_
