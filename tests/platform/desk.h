#ifndef CARAWAYVALVE_TESTS_PLATFORM_DESK_H_
#define CARAWAYVALVE_TESTS_PLATFORM_DESK_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "carawayvalve/base/time.h"

namespace carawayvalve::tests {

// Returns a configuration with one plain service, "desk", and a route to it.
nlohmann::json DeskConfiguration();

// Returns a configuration whose route, "pay", may be sent to three servers of
// that service, and runs once.
nlohmann::json PaymentConfiguration();

// Returns `configuration` with this time for its first route, and with a route
// "tell" besides, which streams answers of the same service.
nlohmann::json WithStreams(nlohmann::json configuration,
                           base::Milliseconds timeout);

// Returns the entry of a backend server of that service.
nlohmann::json DeskServer(const std::string& address);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_DESK_H_
