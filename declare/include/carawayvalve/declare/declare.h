#ifndef CARAWAYVALVE_DECLARE_DECLARE_H_
#define CARAWAYVALVE_DECLARE_DECLARE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "carawayvalve/config/configuration.h"

// For operators' programs that print a declaration:
//
//   int main() {
//     using namespace carawayvalve::declare;
//     return Print({.client_accounts = {Account("guild-north")},
//                   .services = {PlainService("ticket-desk")},
//                   .routes = {KeyedRoute("desk", "/tickets", "ticket-desk")},
//                   .engine_rules = {},
//                   .limits = {}});
//   }
namespace carawayvalve::declare {

using config::ClientAccount;
using config::Declaration;
using config::EngineRule;
using config::Limits;
using config::Route;
using config::Service;

// Exit code of a program whose declaration has faults.
inline constexpr int kExitFaults = 3;

ClientAccount Account(const std::string& name, int32_t weight = 1);

// Return a copy of the account whose requests, over all entry processes, are
// limited to `per_second` for each second plus `burst`. The second one counts
// tokens, `default_tokens` for a request that names none.
ClientAccount WithRequestLimit(ClientAccount account,
                               double per_second,
                               int64_t burst);
ClientAccount WithTokenLimit(ClientAccount account,
                             double per_second,
                             int64_t burst,
                             int64_t default_tokens);

Service ModelService(const std::string& name,
                     const std::vector<std::string>& models);
Service PlainService(const std::string& name);

// Sets the minimum and maximum number of backend servers.
Service WithBackendServers(Service service,
                           int32_t min_count,
                           int32_t max_count);
Service WithTargetFirstAnswer(Service service, int64_t target_ms);

// A route whose callers need a key.
Route KeyedRoute(const std::string& name,
                 const std::string& path_prefix,
                 const std::string& service);
// A route without keys.
Route OpenRoute(const std::string& name,
                const std::string& path_prefix,
                const std::string& service);

// Return a copy of the route with one property changed.
Route WithMethods(Route route, const std::vector<std::string>& methods);
Route WithRepeat(Route route, config::Repeat repeat);
Route WithHost(Route route, const std::string& host);
Route WithDeadline(Route route, int64_t deadline_ms);

// Creates the rule for the engines of a model service.
EngineRule EnginesOf(const std::string& service);
// Sets the minimum number of engines in each role, whatever the demand.
EngineRule KeepEngines(EngineRule rule, int32_t prefill, int32_t decode);

// Prints the declaration to standard output and returns the program's exit
// code: 0, or kExitFaults after it has printed every fault to standard error.
int Print(const Declaration& declaration);

// The same, printing to the given streams.
int Print(const Declaration& declaration, std::ostream& out, std::ostream& err);

}  // namespace carawayvalve::declare

#endif  // CARAWAYVALVE_DECLARE_DECLARE_H_
