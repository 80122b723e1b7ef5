#ifndef CARAWAYVALVE_ENTRY_SETTINGS_H_
#define CARAWAYVALVE_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"

namespace carawayvalve::entry {

// The settings of an entry process. Members without a default are required;
// every address is host and port.
struct EntrySettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::RegionId region;
  // The addresses that this process listens at, by IP number: for callers'
  // and operators' HTTP, and for the Thrift calls of other entry processes and
  // of agents.
  std::string callers_address;
  std::string operator_address;
  std::string peer_address;
  // The platform's interfaces.
  std::string object_api_address;
  std::string host_list_address;
  std::string backend_servers_address;
  std::string usage_address;
  std::string weight_store_address;
  base::LogLevel log_level = base::LogLevel::kInfo;
  int32_t http_threads = 4;
  // Timeout of one call to the Object API.
  int64_t store_timeout_ms = 2000;
  // How long a planned stop waits for requests in flight.
  int64_t drain_timeout_ms = 60000;
  // Limits all headers of one caller's request together.
  int64_t max_header_bytes = 32768;
  int32_t max_connections = 10000;
  // A caller's connection without a request is closed after this time.
  int64_t max_connection_idle_ms = 60000;
  // Interval at which usage counters are collected from agents.
  int64_t usage_collect_interval_ms = 2000;

  bool operator==(const EntrySettings&) const = default;
};

// Parses settings from JSON with comments. `source` names the text in errors.
// Throws base::Error that lists every fault with its JSON path, the reason and
// the allowed values.
EntrySettings ParseEntrySettings(const std::string& text,
                                 const std::string& source);

// Like ParseEntrySettings, but returns the faults; `settings` is only valid if
// there are none. Throws base::Error if the text isn't JSON.
std::vector<base::Fault> CheckEntrySettings(const std::string& text,
                                            const std::string& source,
                                            EntrySettings& settings);

// Returns an example settings file with every member, its default and a comment
// on its purpose.
std::string PrintDefaultEntrySettings();

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SETTINGS_H_
