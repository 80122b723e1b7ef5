#ifndef CARAWAYVALVE_GATEWAY_GATEWAY_H_
#define CARAWAYVALVE_GATEWAY_GATEWAY_H_

#include <string>

namespace carawayvalve::gateway {

// Runs a gateway with the settings of a file until SIGTERM or SIGINT, then
// completes the requests in flight. SIGHUP reloads the file. Returns the exit
// code. Throws base::Error when the settings are invalid or an address can't
// be bound.
int Serve(const std::string& settings_path);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_GATEWAY_H_
