#ifndef CARAWAYVALVE_TESTS_PLATFORM_STORE_FAULTS_H_
#define CARAWAYVALVE_TESTS_PLATFORM_STORE_FAULTS_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "store.h"

namespace carawayvalve::tests {

// The name of a way in which a store is unwell, and what makes it so.
using StoreFault = std::pair<std::string, std::function<void(Store&)>>;

std::vector<StoreFault> StoreFaults();

// Makes the store well again.
void EndFaults(Store& store);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_STORE_FAULTS_H_
