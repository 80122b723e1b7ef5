// A request that crashes the workers that run it comes again with the same
// path, caller and body, and another query each time.
#include "world.hpp"

using namespace world;

namespace {

constexpr int64_t kContactMs = 3000;
constexpr int64_t kMaxLateRetries = 3;
constexpr int kAttempts = 20;
// Between two client attempts with the request.
constexpr int64_t kAgainMs = 2500;

}  // namespace

// query PROGRAM FOLDER RECORD
int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  Store store(record);
  Cloud cloud(record);
  store.Put("config", "main", Configuration());
  Worker::Settings settings;
  settings.crashing_body = Troubled() ? "crash" : "";
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 6; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, record, "w" + std::to_string(i), settings));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= 4; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        argv[1], argv[2], i, store.port(), cloud.port(), 54));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(8000)) {
      record.Line(gateway->name + " isn't ready");
      return 2;
    }
  }
  SleepMs(kContactMs);
  for (int i = 1; i <= kAttempts; ++i) {
    const std::string id = "p" + std::to_string(i);
    const std::string target = "/book/9?at=" + std::to_string(UnixMs());
    const Gateway& gateway = *gateways[static_cast<size_t>(i) % 4];
    const Reply reply = Call(gateway.front, target, id, "crash", 2000);
    record.Line("client sent " + id + " " + target + " to " + gateway.name +
                " and got " + std::to_string(reply.status) + " " + reply.body);
    SleepMs(kAgainMs);
  }
  std::vector<int64_t> crashes;
  for (const auto& worker : workers) {
    for (const Arrival& arrival : worker->arrivals()) {
      if (arrival.body == "crash" && !arrival.finished) {
        crashes.push_back(arrival.at);
      }
    }
  }
  std::sort(crashes.begin(), crashes.end());
  int64_t late = 0;
  for (const int64_t at : crashes) {
    late += crashes.size() >= 3 && at > crashes[2] + kContactMs ? 1 : 0;
  }
  record.Line("workers crashed by the request: " +
              std::to_string(crashes.size()) + ", of these later than " +
              std::to_string(kContactMs) + " ms after the third: " +
              std::to_string(late) + ", allowed " +
              std::to_string(kMaxLateRetries));
  for (const auto& gateway : gateways) gateway->Kill();
  const bool broken = late > kMaxLateRetries;
  record.Line(broken ? "BUDGET broken" : "BUDGET held");
  std::_Exit(broken ? 1 : 0);
}
