#include "carawayvalve/core/usage_objects.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr const char* kStep = "read usage";
constexpr const char* kPeer = "Object API";

json FiguresToJson(const UsageFigures& figures) {
  return {figures.requests, figures.prompt_tokens, figures.output_tokens};
}

UsageFigures FiguresFromJson(const json& value) {
  return {value.at(0).get<int64_t>(), value.at(1).get<int64_t>(),
          value.at(2).get<int64_t>()};
}

json AccountsToJson(const AccountUsage& accounts) {
  json value = json::object();
  for (const auto& [account, figures] : accounts) {
    value[account.value] = FiguresToJson(figures);
  }
  return value;
}

AccountUsage AccountsFromJson(const json& value) {
  AccountUsage accounts;
  for (const auto& [account, figures] : value.items()) {
    accounts[{account}] = FiguresFromJson(figures);
  }
  return accounts;
}

json CommonMembers(const UsageWriter& writer) {
  return {{"writer", writer.process.value}, {"epoch", writer.epoch}};
}

UsageWriter WriterFromJson(const json& value) {
  return {{value.at("writer").get<std::string>()},
          value.at("epoch").get<int64_t>()};
}

json ToJson(const UsageProgress& progress) {
  json value = CommonMembers(progress.writer);
  value["open"] = progress.open;
  value["sealed"] = progress.sealed;
  value["reported"] = progress.reported;
  value["pending"] = progress.pending;
  value["sending"] = progress.sending;
  value["sending_epoch"] = progress.sending_epoch;
  value["refused_reports"] = progress.refused_reports;
  value["kept_from"] = progress.kept_from;
  value["cleared_to"] = progress.cleared_to;
  return value;
}

UsageProgress ProgressFromJson(const json& value) {
  UsageProgress progress;
  progress.writer = WriterFromJson(value);
  value.at("open").get_to(progress.open);
  value.at("sealed").get_to(progress.sealed);
  value.at("reported").get_to(progress.reported);
  value.at("pending").get_to(progress.pending);
  value.at("sending").get_to(progress.sending);
  value.at("sending_epoch").get_to(progress.sending_epoch);
  value.at("refused_reports").get_to(progress.refused_reports);
  value.at("kept_from").get_to(progress.kept_from);
  value.at("cleared_to").get_to(progress.cleared_to);
  return progress;
}

json ToJson(const UsagePart& part) {
  json value = CommonMembers(part.writer);
  value["counters"] = json::object();
  for (const auto& [agent, accounts] : part.counters) {
    value["counters"][agent.value] = AccountsToJson(accounts);
  }
  value["sealed"] = AccountsToJson(part.sealed);
  return value;
}

UsagePart PartFromJson(const json& value) {
  UsagePart part;
  part.writer = WriterFromJson(value);
  for (const auto& [agent, accounts] : value.at("counters").items()) {
    part.counters[{agent}] = AccountsFromJson(accounts);
  }
  part.sealed = AccountsFromJson(value.at("sealed"));
  return part;
}

json LinesToJson(const SealedLines& lines) {
  json value = json::object();
  for (const auto& [account, line] : lines) {
    value[account.value] = {{"figures", FiguresToJson(line.figures)},
                            {"total", FiguresToJson(line.total)}};
  }
  return value;
}

SealedLines LinesFromJson(const json& value) {
  SealedLines lines;
  for (const auto& [account, line] : value.items()) {
    lines[{account}] = {FiguresFromJson(line.at("figures")),
                        FiguresFromJson(line.at("total"))};
  }
  return lines;
}

json ToJson(const UsageSeal& seal) {
  json value = CommonMembers(seal.writer);
  value["region"] = seal.region.value;
  value["window"] = seal.window;
  value["report_id"] = seal.report_id;
  value["windows"] = json::array();
  for (const auto& [window, lines] : seal.windows) {
    value["windows"].push_back(
        {{"window", window}, {"lines", LinesToJson(lines)}});
  }
  return value;
}

UsageSeal SealFromJson(const json& value) {
  UsageSeal seal;
  seal.writer = WriterFromJson(value);
  seal.region.value = value.at("region").get<std::string>();
  value.at("window").get_to(seal.window);
  value.at("report_id").get_to(seal.report_id);
  for (const json& window : value.at("windows")) {
    seal.windows[window.at("window").get<int64_t>()] =
        LinesFromJson(window.at("lines"));
  }
  return seal;
}

UsageObject ObjectFromJson(UsageObjectKind kind, const json& value) {
  switch (kind) {
    case UsageObjectKind::kProgress:
      return ProgressFromJson(value);
    case UsageObjectKind::kPart:
      return PartFromJson(value);
    case UsageObjectKind::kSeal:
      return SealFromJson(value);
  }
  throw base::Error(kStep, kPeer, "unknown kind of object");
}

}  // namespace

std::string UsageKindName(UsageObjectKind kind) {
  switch (kind) {
    case UsageObjectKind::kProgress:
      return "usage-progress";
    case UsageObjectKind::kPart:
      return "usage-part";
    case UsageObjectKind::kSeal:
      return "usage-seal";
  }
  return "";
}

std::string UsageObjectName(const base::RegionId& region,
                            const UsageObjectId& id) {
  if (id.kind == UsageObjectKind::kProgress) {
    return region.value;
  }
  return region.value + "-" + std::to_string(id.window);
}

std::string EncodeUsageObject(const UsageObject& object) {
  return std::visit([](const auto& kind) { return ToJson(kind).dump(); },
                    object);
}

UsageObject DecodeUsageObject(UsageObjectKind kind, const std::string& text) {
  try {
    return ObjectFromJson(kind, ParseStoredJson(kStep, kPeer, text));
  } catch (const json::exception& error) {
    throw base::Error(kStep, kPeer, error.what());
  }
}

std::string UsageReportId(const base::RegionId& region, int64_t window) {
  return "usage-" + region.value + "-" + std::to_string(window);
}

UsageReport ReportFromSeal(const UsageSeal& seal) {
  UsageReport report;
  report.report_id = seal.report_id;
  report.region = seal.region;
  report.window = seal.window;
  report.writer = seal.writer;
  for (const auto& [window, lines] : seal.windows) {
    const std::optional<int64_t> correction_of =
        window == seal.window ? std::nullopt : std::optional(window);
    for (const auto& [account, line] : lines) {
      report.lines.push_back({account, line.figures, correction_of});
    }
  }
  return report;
}

}  // namespace carawayvalve::core
