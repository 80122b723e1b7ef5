#ifndef CARAWAYVALVE_TESTS_FAKES_STAND_INS_H_
#define CARAWAYVALVE_TESTS_FAKES_STAND_INS_H_

#include <stop_token>

#include "http_server.h"
#include "options.h"

namespace carawayvalve::fakes {

// Each returns the request handler of one stand-in. `stop` ends its waits.
Handler MakeObjectApi(const Options& options, const std::stop_token& stop);
Handler MakeHostList(const Options& options, const std::stop_token& stop);
Handler MakeBackendServers(const Options& options, const std::stop_token& stop);
Handler MakeUsage(const Options& options, const std::stop_token& stop);
Handler MakeWeights(const Options& options, const std::stop_token& stop);
Handler MakeEngine(const Options& options, const std::stop_token& stop);
Handler MakePlainService(const Options& options, const std::stop_token& stop);

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_STAND_INS_H_
