// A request that crashes the workers that run it comes again, while all
// gateways are killed at once three times.
#include "world.hpp"

using namespace world;

namespace {

constexpr int64_t kContactMs = 3000;
constexpr int64_t kMaxLateRetries = 3;
constexpr int kKills = 3;
// Between two client attempts with the request that crashes workers.
constexpr int64_t kAgainMs = 4000;

}  // namespace

// poison PROGRAM FOLDER RECORD
int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  const std::string folder = argv[2];
  const bool troubled = Troubled();
  Store store(record);
  Cloud cloud(record);
  store.Put("config", "main", Configuration());
  Worker::Settings settings;
  settings.crashing_body = "crash";
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 6; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, record, "w" + std::to_string(i), settings));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= 4; ++i) {
    gateways.push_back(std::make_unique<Gateway>(argv[1], folder, i,
                                                 store.port(), cloud.port(), 54));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(8000)) {
      record.Line(gateway->name + " isn't ready");
      return 2;
    }
  }
  SleepMs(kContactMs);

  // Sound requests, at each gateway in turn.
  std::atomic<bool> ends = false;
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
  std::thread traffic([&] {
    for (int i = 0; !ends; ++i) {
      std::thread([&, i] {
        ++sound;
        const Reply reply = Call(gateways[i % 4]->front, "/read/" + std::to_string(i),
                                 "s" + std::to_string(i), "sound", 2000);
        record.Line("client sent s" + std::to_string(i) + " and got " +
                    std::to_string(reply.status));
        served += reply.status == 200 ? 1 : 0;
      }).detach();
      // 10 reads a second, as on the sheet.
      SleepMs(100);
    }
  });

  int number = 0;
  for (int epoch = 0; epoch <= kKills; ++epoch) {
    if (epoch > 0) {
      if (troubled) {
        record.Line("all gateways are killed");
        for (const auto& gateway : gateways) gateway->Signal(SIGKILL);
        for (const auto& gateway : gateways) gateway->Kill();
        SleepMs(1000);
        for (const auto& gateway : gateways) gateway->Start();
        record.Line("all gateways are started");
        for (const auto& gateway : gateways) gateway->WaitReady(8000);
      } else {
        SleepMs(1500);
      }
      // All gateways are in touch again.
      SleepMs(kContactMs + 500);
    }
    for (int i = 0; i < 4; ++i) {
      const std::string id = "p" + std::to_string(++number);
      const Gateway& gateway = *gateways[static_cast<size_t>(number) % 4];
      const Reply reply = Call(gateway.front, "/book/9", id, "crash", 2000);
      record.Line("client gets " + std::to_string(reply.status) + " for " + id +
                  " from " + gateway.name + " " + reply.body);
      SleepMs(kAgainMs);
    }
  }
  ends = true;
  traffic.join();
  SleepMs(2500);

  std::vector<int64_t> crashes;
  for (const auto& worker : workers) {
    for (const Arrival& arrival : worker->arrivals()) {
      if (arrival.body == "crash") crashes.push_back(arrival.at);
    }
  }
  std::sort(crashes.begin(), crashes.end());
  int64_t late = 0;
  for (const int64_t at : crashes) {
    late += crashes.size() >= 3 && at > crashes[2] + kContactMs ? 1 : 0;
  }
  record.Line("sound requests " + std::to_string(sound.load()) + ", served " +
              std::to_string(served.load()));
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
