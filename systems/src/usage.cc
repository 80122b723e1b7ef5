#include "carawayvalve/systems/usage.h"

#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

using nlohmann::json;

namespace {

json ToJson(const UsageReport& report) {
  json lines = json::array();
  for (const UsageLine& line : report.lines) {
    json sent = {{"client_account", line.client_account.value},
                 {"requests", line.requests},
                 {"prompt_tokens", line.prompt_tokens},
                 {"output_tokens", line.output_tokens}};
    if (line.correction_of) {
      sent["correction_of"] = *line.correction_of;
    }
    lines.push_back(std::move(sent));
  }
  return {{"report_id", report.report_id}, {"region", report.region.value},
          {"window", report.window},       {"holder", report.holder},
          {"epoch", report.epoch},         {"lines", std::move(lines)}};
}

}  // namespace

UsageInterface::UsageInterface(std::string address)
    : address(std::move(address)) {}

bool UsageInterface::Send(const UsageReport& report,
                          base::Milliseconds timeout) const {
  const detail::CallSite site{"send usage report", this->address};
  const HttpRequest request = detail::MakeJsonRequest(site, "POST", "/reports",
                                                      ToJson(report), timeout);
  return detail::CallForOkOrConflict(site, request);
}

}  // namespace carawayvalve::systems
