#include <algorithm>
#include <memory>
#include <mutex>

#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

// Returns the part of a report that must not change when it is resent.
json ComparedFigures(const json& report) {
  json lines = report.at("lines");
  std::sort(lines.begin(), lines.end());
  return {report.at("region"), report.at("window"), lines};
}

class Usage {
 public:
  Reply Handle(const Request& request) {
    const std::lock_guard lock(this->mutex);
    if (request.Is("POST", "reports", 1)) {
      return this->AddReport(request.Json());
    }
    if (request.Is("GET", "reports", 1)) {
      return JsonReply(200, {{"reports", this->reports},
                             {"conflicts", this->wrong_reports.size()},
                             {"wrong_reports", this->wrong_reports}});
    }
    return NotFound();
  }

 private:
  Reply AddReport(const json& report) {
    const auto id = report.at("report_id").get<std::string>();
    const json figures = ComparedFigures(report);
    const auto [known, is_new] = this->figures_by_id.emplace(id, figures);
    if (is_new) {
      this->reports.push_back(report);
    } else if (known->second != figures) {
      this->wrong_reports.push_back(report);
      return JsonReply(409, {{"error", "the report had other figures"}});
    }
    return JsonReply(200, json::object());
  }

  std::mutex mutex;
  std::map<std::string, json> figures_by_id;
  json reports = json::array();
  json wrong_reports = json::array();
};

}  // namespace

Handler MakeUsage(const Options&, const std::stop_token&) {
  const auto usage = std::make_shared<Usage>();
  return [usage](const Request& request) { return usage->Handle(request); };
}

}  // namespace carawayvalve::fakes
