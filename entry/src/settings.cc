#include "carawayvalve/entry/settings.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/config/document.h"

namespace carawayvalve::entry {

using base::Fault;
using base::FieldReader;

namespace {

constexpr int64_t kMaxHttpThreads = 256;
constexpr int64_t kMinStoreTimeoutMs = 10;
constexpr int64_t kMaxStoreTimeoutMs = 60000;
constexpr int64_t kMaxDrainTimeoutMs = 24 * 3600 * 1000;
constexpr int64_t kMinHeaderBytes = 1024;
constexpr int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr int64_t kMaxConnections = 1000000;
constexpr int64_t kMaxConnectionIdleMs = 3600 * 1000;
constexpr int64_t kMinCollectIntervalMs = 10;
constexpr int64_t kMaxCollectIntervalMs = 3600 * 1000;

// Reads members of a settings document and adds their faults to `faults`.
class SettingsReader {
 public:
  SettingsReader(FieldReader& reader, std::vector<Fault>& faults)
      : reader(reader), faults(faults) {}

  std::string Name(const std::string& member) {
    std::string text = this->Text(member);
    if (this->no_fault && text.empty()) {
      this->reader.AddFault(member, "is empty",
                            "the name that the platform uses");
    }
    return text;
  }

  // Reads the address of an interface of the platform.
  std::string Address(const std::string& member) {
    return this->Checked(member, "HOST:PORT", [](const std::string& text) {
      base::ParseAddress(text);
    });
  }

  // Reads an address that this process listens at: an IP number and port that
  // no other listener of this process has.
  std::string OwnAddress(const std::string& member) {
    std::string text = this->Checked(
        member, "NUMBER:PORT with an IPv4 number", [](const std::string& text) {
          base::ToSocketAddress(base::ParseAddress(text));
        });
    if (this->no_fault && !this->own_addresses.insert(text).second) {
      this->reader.AddFault(member, "is the address of another listener",
                            "an address for this listener alone");
    }
    return text;
  }

 private:
  using Check = std::function<void(const std::string&)>;

  std::string Text(const std::string& member) {
    const size_t before = this->faults.size();
    std::string text = this->reader.String(member);
    this->no_fault = this->faults.size() == before;
    return text;
  }

  // Reads a text and refuses it if `check` throws.
  std::string Checked(const std::string& member,
                      const std::string& allowed,
                      const Check& check) {
    std::string text = this->Text(member);
    if (!this->no_fault) {
      return text;
    }
    try {
      check(text);
    } catch (const base::Error& error) {
      this->no_fault = false;
      this->reader.AddFault(member, error.reason(), allowed);
    }
    return text;
  }

  FieldReader& reader;
  std::vector<Fault>& faults;
  // Whether the member that was read last has no fault.
  bool no_fault = true;
  std::set<std::string> own_addresses;
};

void ReadNamesAndAddresses(FieldReader& reader,
                           std::vector<Fault>& faults,
                           EntrySettings& settings) {
  SettingsReader settings_reader(reader, faults);
  settings.host = {settings_reader.Name("host")};
  settings.data_centre = {settings_reader.Name("data_centre")};
  settings.region = {settings_reader.Name("region")};
  settings.callers_address = settings_reader.OwnAddress("callers_address");
  settings.operator_address = settings_reader.OwnAddress("operator_address");
  settings.peer_address = settings_reader.OwnAddress("peer_address");
  settings.object_api_address = settings_reader.Address("object_api_address");
  settings.host_list_address = settings_reader.Address("host_list_address");
  settings.backend_servers_address =
      settings_reader.Address("backend_servers_address");
  settings.usage_address = settings_reader.Address("usage_address");
  settings.weight_store_address =
      settings_reader.Address("weight_store_address");
}

void ReadLimits(FieldReader& reader, EntrySettings& settings) {
  settings.log_level = static_cast<base::LogLevel>(
      reader.Choice("log_level", {"debug", "info", "warning", "error"},
                    static_cast<size_t>(settings.log_level)));
  settings.http_threads = static_cast<int32_t>(reader.Integer(
      "http_threads", 1, kMaxHttpThreads, settings.http_threads));
  settings.store_timeout_ms =
      reader.Integer("store_timeout_ms", kMinStoreTimeoutMs, kMaxStoreTimeoutMs,
                     settings.store_timeout_ms);
  settings.drain_timeout_ms = reader.Integer(
      "drain_timeout_ms", 0, kMaxDrainTimeoutMs, settings.drain_timeout_ms);
  settings.max_header_bytes =
      reader.Integer("max_header_bytes", kMinHeaderBytes, kMaxHeaderBytes,
                     settings.max_header_bytes);
  settings.max_connections = static_cast<int32_t>(reader.Integer(
      "max_connections", 1, kMaxConnections, settings.max_connections));
  settings.max_connection_idle_ms =
      reader.Integer("max_connection_idle_ms", 1, kMaxConnectionIdleMs,
                     settings.max_connection_idle_ms);
}

void ReadUsage(FieldReader& reader, EntrySettings& settings) {
  settings.usage_collect_interval_ms =
      reader.Integer("usage_collect_interval_ms", kMinCollectIntervalMs,
                     kMaxCollectIntervalMs, settings.usage_collect_interval_ms);
}

}  // namespace

EntrySettings ParseEntrySettings(const std::string& text,
                                 const std::string& source) {
  EntrySettings settings;
  base::ThrowIfAny(CheckEntrySettings(text, source, settings), source);
  return settings;
}

std::vector<Fault> CheckEntrySettings(const std::string& text,
                                      const std::string& source,
                                      EntrySettings& settings) {
  const nlohmann::json document = config::ParseDocument(text, source);
  std::vector<Fault> faults;
  FieldReader reader(document, "", faults);
  settings = EntrySettings();
  ReadNamesAndAddresses(reader, faults, settings);
  ReadLimits(reader, settings);
  ReadUsage(reader, settings);
  reader.Finish();
  return faults;
}

std::string PrintDefaultEntrySettings() {
  return R"({
  // The host that this process runs on, as the platform's host list names it.
  "host": "entry-1",
  "data_centre": "scot-central-a",
  "region": "scot-central",

  // Where this process listens, by IP number. Callers reach the first address
  // through the platform's balancer; don't expose the other two to callers.
  "callers_address": "127.0.0.1:7100",
  // Operators' HTTP: /status, /dump, /metrics, /readyz.
  "operator_address": "127.0.0.1:7101",
  // For Thrift calls of other entry processes; the host list names it.
  "peer_address": "127.0.0.1:7102",

  // The interfaces of the platform.
  "object_api_address": "127.0.0.1:8000",
  "host_list_address": "127.0.0.1:8001",
  "backend_servers_address": "127.0.0.1:8002",
  "usage_address": "127.0.0.1:8003",
  "weight_store_address": "127.0.0.1:8004",

  // The lowest level that is logged: debug, info, warning or error.
  "log_level": "info",
  // Threads that serve callers: 1 to 256.
  "http_threads": 4,
  // Timeout of one call to the Object API: 10 to 60000.
  "store_timeout_ms": 2000,
  // How long a planned stop waits for requests in flight: 0 to 86400000.
  "drain_timeout_ms": 60000,
  // Limit for all headers of one request together: 1024 to 1048576.
  "max_header_bytes": 32768,
  // Limit for callers' connections that are open at once: 1 to 1000000.
  "max_connections": 10000,
  // A connection without a request is closed after this time: 1 to 3600000.
  "max_connection_idle_ms": 60000,

  // Interval at which usage counters are collected from agents: 10 to 3600000.
  // Keep it at a third of the configuration's usage_grace_ms at most.
  "usage_collect_interval_ms": 2000
}
)";
}

}  // namespace carawayvalve::entry
