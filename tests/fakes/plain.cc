#include <cstdlib>
#include <memory>
#include <mutex>

#include "faults.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 42;

// Joins the values of repeated headers.
std::map<std::string, std::string> JoinHeaders(const Request& request) {
  std::map<std::string, std::string> joined;
  for (const auto& [name, value] : request.headers) {
    std::string& values = joined[name];
    values += values.empty() ? "" : ", ";
    values += value;
  }
  return joined;
}

class PlainService {
 public:
  PlainService(std::string crash_on, int64_t delay_ms, std::stop_token stop)
      : crash_on(std::move(crash_on)),
        delay_ms(delay_ms),
        stop(std::move(stop)) {}

  Reply Handle(const Request& request) {
    if (request.Is("GET", "runs", 1)) {
      const std::lock_guard lock(this->mutex);
      return JsonReply(200, {{"runs", this->runs}});
    }
    if (request.Is("GET", "load", 1)) {
      const std::lock_guard lock(this->mutex);
      return JsonReply(200, {{"running_requests", this->running}});
    }
    return this->Run(request);
  }

 private:
  Reply Run(const Request& request) {
    json echo = {{"method", request.method},
                 {"path", request.target},
                 {"body", request.body}};
    echo["run"] = this->Begin(echo);
    if (this->delay_ms > 0) {
      SleepUnlessStopped(this->stop, this->delay_ms);
    }
    if (this->MustCrash(request)) {
      std::_Exit(kCrashExitCode);
    }
    echo["headers"] = JoinHeaders(request);
    const std::lock_guard lock(this->mutex);
    this->running -= 1;
    return JsonReply(200, echo);
  }

  // Returns the number of the run.
  int64_t Begin(const json& run) {
    const std::lock_guard lock(this->mutex);
    this->running += 1;
    this->runs.push_back(run);
    return static_cast<int64_t>(this->runs.size());
  }

  bool MustCrash(const Request& request) const {
    const auto holds = [this](const std::string& text) {
      return text.find(this->crash_on) != std::string::npos;
    };
    return !this->crash_on.empty() &&
           (holds(request.target) || holds(request.body));
  }

  const std::string crash_on;
  const int64_t delay_ms;
  const std::stop_token stop;
  std::mutex mutex;
  json runs = json::array();
  int64_t running = 0;
};

}  // namespace

Handler MakePlainService(const Options& options, const std::stop_token& stop) {
  const auto service = std::make_shared<PlainService>(
      options.Text("--crash-on"), options.Number("--delay-ms"), stop);
  return [service](const Request& request) { return service->Handle(request); };
}

}  // namespace carawayvalve::fakes
