#include "carawayvalve/gateway/settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/core/entry_name.h"
#include "carawayvalve/platform/features.h"

namespace carawayvalve::gateway {

using base::Fault;
using base::FieldReader;

namespace {

constexpr int64_t kMaxDurationMs = 3600 * 1000;
constexpr double kMsPerSecond = 1000;
constexpr int64_t kMaxBufferedKb = 64 * 1024;
constexpr int64_t kBytesPerKb = 1024;
// A larger slack would allow any number of retries in a window.
constexpr double kMaxRetrySlack = 1e6;
constexpr double kMaxAccountSlack = 1e12;
constexpr double kMaxMemoryMb = 1024 * 1024;
constexpr double kBytesPerMb = 1024 * 1024;

base::Address ReadAddress(FieldReader& reader,
                          const char* name,
                          std::vector<Fault>& faults) {
  const size_t before = faults.size();
  const std::string text = reader.String(name);
  if (faults.size() != before) {
    return {};
  }
  try {
    base::Address address = base::ParseAddress(text);
    base::ToSocketAddress(address);
    return address;
  } catch (const base::Error& error) {
    reader.AddFault(name, error.reason(), "NUMBER:PORT with an IPv4 number");
    return {};
  }
}

// Reads a time in seconds, which may have a fraction.
base::Milliseconds ReadSeconds(FieldReader& reader,
                               const char* name,
                               base::Milliseconds fallback) {
  const std::chrono::duration<double> seconds(
      reader.Number(name, 0, static_cast<double>(kMaxDurationMs) / kMsPerSecond,
                    std::chrono::duration<double>(fallback).count()));
  return std::chrono::duration_cast<base::Milliseconds>(seconds);
}

base::Milliseconds ReadMs(FieldReader& reader,
                          const char* name,
                          base::Milliseconds fallback) {
  return base::Milliseconds(reader.Integer(
      name, 1, kMaxDurationMs, static_cast<int64_t>(fallback.count())));
}

void ReadListen(FieldReader& parent,
                std::vector<Fault>& faults,
                GatewaySettings::Listen& listen) {
  FieldReader reader(parent.Object("listen"), parent.PathOf("listen"), faults);
  listen.callers = ReadAddress(reader, "callers", faults);
  listen.readiness = ReadAddress(reader, "readiness", faults);
  listen.metrics = ReadAddress(reader, "metrics", faults);
  listen.peers = ReadAddress(reader, "peers", faults);
  reader.Finish();
}

void ReadStore(FieldReader& parent,
               std::vector<Fault>& faults,
               GatewaySettings::Store& store) {
  FieldReader reader(parent.Object("store"), parent.PathOf("store"), faults);
  store.address = ReadAddress(reader, "address", faults);
  store.call_timeout = ReadMs(reader, "call_timeout_ms", store.call_timeout);
  store.watch_wait = ReadMs(reader, "watch_wait_ms", store.watch_wait);
  store.report_interval =
      ReadMs(reader, "report_interval_ms", store.report_interval);
  reader.Finish();
}

void ReadDuties(FieldReader& parent,
                std::vector<Fault>& faults,
                GatewaySettings::Duties& duties) {
  FieldReader reader(parent.Object("duties"), parent.PathOf("duties"), faults);
  duties.address = ReadAddress(reader, "address", faults);
  duties.usage_window =
      ReadSeconds(reader, "usage_window_s", duties.usage_window);
  duties.usage_late = ReadSeconds(reader, "usage_late_s", duties.usage_late);
  duties.lease = ReadMs(reader, "lease_ms", duties.lease);
  reader.Finish();
}

void ReadBounds(FieldReader& parent,
                std::vector<Fault>& faults,
                GatewaySettings::Bounds& bounds) {
  FieldReader reader(parent.Object("bounds"), parent.PathOf("bounds"), faults);
  bounds.key_withdrawal =
      ReadMs(reader, "key_withdrawal_ms", bounds.key_withdrawal);
  bounds.stop = ReadSeconds(reader, "stop_s", bounds.stop);
  bounds.retry_ratio = reader.Number("retry_ratio", 0, 1, bounds.retry_ratio);
  bounds.retry_slack =
      reader.Number("retry_slack", 0, kMaxRetrySlack, bounds.retry_slack);
  bounds.retry_window =
      ReadSeconds(reader, "retry_window_s", bounds.retry_window);
  bounds.account_tolerance =
      reader.Number("account_tolerance", 0, 1, bounds.account_tolerance);
  bounds.account_slack =
      reader.Number("account_slack", 0, kMaxAccountSlack, bounds.account_slack);
  bounds.account_window =
      ReadSeconds(reader, "account_window_s", bounds.account_window);
  reader.Finish();
}

void ReadLog(FieldReader& parent,
             std::vector<Fault>& faults,
             base::Journal::Settings& log) {
  FieldReader reader(parent.Object("log"), parent.PathOf("log"), faults);
  const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
  log.level = static_cast<base::LogLevel>(
      reader.Choice("level", levels, static_cast<size_t>(log.level)));
  log.max_buffered_bytes = static_cast<size_t>(
      reader.Integer(
          "max_buffered_kb", 1, kMaxBufferedKb,
          static_cast<int64_t>(log.max_buffered_bytes) / kBytesPerKb) *
      kBytesPerKb);
  reader.Finish();
}

}  // namespace

GatewaySettings ReadGatewaySettings(const std::string& text,
                                    const std::string& source) {
  const nlohmann::json document = base::ParseJson(text, source);
  std::vector<Fault> faults;
  GatewaySettings settings;
  FieldReader reader(document, "", faults);
  settings.host = {reader.String("host")};
  // The peers take no other name for that of a gateway.
  if (!settings.host.empty() && !core::IsEntryName(settings.host.value)) {
    faults.push_back(
        {"/host", "no gateway has such a name", "letters, digits and -._~"});
  }
  settings.data_centre = {reader.String("data_centre")};
  ReadListen(reader, faults, settings.listen);
  ReadStore(reader, faults, settings.store);
  ReadDuties(reader, faults, settings.duties);
  ReadBounds(reader, faults, settings.bounds);
  settings.memory_bytes = static_cast<size_t>(
      reader.Number("memory_mb", 1, kMaxMemoryMb,
                    static_cast<double>(settings.memory_bytes) / kBytesPerMb) *
      kBytesPerMb);
  settings.features = platform::DecodeFeatures(reader.Strings("rule_parts"));
  settings.even_load = reader.Boolean("even_load", settings.even_load);
  ReadLog(reader, faults, settings.log);
  reader.Finish();
  base::ThrowIfAny(faults, source);
  return settings;
}

GatewaySettings ReadGatewaySettingsFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    throw base::Error("read settings", path, "can't be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ReadGatewaySettings(text.str(), path);
}

}  // namespace carawayvalve::gateway
