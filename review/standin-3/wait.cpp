// A worker that was full asks the gateways to wait. Meanwhile it is cut off
// from the store for a while, so that its entry lapses and comes back.
#include "world.hpp"

using namespace world;

namespace {

constexpr int64_t kWaitS = 20;
// Between two bookings: 19.5 a second, as on the sheet.
constexpr int64_t kBookingMs = 51;
constexpr int64_t kGraceMs = 500;
constexpr int kMaxArrivals = 2;
// The worker is full until it has turned away some requests.
constexpr size_t kTurnedAway = 2;
constexpr int64_t kMaxFullMs = 6000;
// The cut, and the silence after which the entry is removed: three heartbeats.
constexpr int64_t kCutMs = 5000;
constexpr int64_t kSilenceMs = 3600;

}  // namespace

// wait PROGRAM FOLDER RECORD
int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  const bool troubled = Troubled();
  Store store(record);
  Cloud cloud(record);
  store.Put("config", "main", Configuration());
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 5; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, record, "w" + std::to_string(i), Worker::Settings()));
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
  // The gateway is part of the id: g0-17.
  std::atomic<bool> ends = false;
  std::atomic<int> served = 0;
  std::atomic<int> sent = 0;
  std::thread traffic([&] {
    for (int i = 0; !ends; ++i) {
      std::thread([&, i] {
        const std::string id =
            "g" + std::to_string(i % 4) + "-" + std::to_string(i);
        ++sent;
        const Reply reply =
            Call(gateways[static_cast<size_t>(i % 4)]->front,
                 "/book/" + std::to_string(i), id, "sound", 2000);
        record.Line("client sent " + id + " and got " +
                    std::to_string(reply.status));
        served += reply.status == 200 ? 1 : 0;
      }).detach();
      SleepMs(kBookingMs);
    }
  });
  SleepMs(6000);

  Worker& worker = *workers[0];
  const std::string id = worker.id();
  worker.SetFull(true, kWaitS);
  record.Line(id + " is full: 503 with Retry-After " + std::to_string(kWaitS));
  for (const int64_t until = NowMs() + kMaxFullMs;
       NowMs() < until && worker.refused().size() < kTurnedAway;) {
    SleepMs(20);
  }
  worker.SetFull(false, 0);
  record.Line(id + " isn't full any more");
  const int64_t cut = NowMs();
  if (troubled) {
    record.Line(id + " is cut off from the store");
    SleepMs(kSilenceMs);
    worker.Lapse();
    record.Line("the entry of " + id + " is removed");
    SleepMs(cut + kCutMs - NowMs());
    worker.Return();
    record.Line(id + " reaches the store, its entry is back");
  }
  SleepMs(cut + kWaitS * 1000 + 1000 - NowMs());
  ends = true;
  traffic.join();
  SleepMs(2500);

  // The first and the last 503 of each gateway.
  std::map<std::string, int64_t> last;
  for (const Arrival& refusal : worker.refused()) {
    const std::string gateway = refusal.id.substr(0, 2);
    last[gateway] = refusal.at;
    record.Line("request " + refusal.id + " got 503 with Retry-After from " +
                id);
  }
  std::map<std::string, int> counts;
  for (const Arrival& arrival : worker.arrivals()) {
    const std::string gateway = arrival.id.substr(0, 2);
    const auto asked = last.find(gateway);
    if (asked == last.end()) continue;
    const int64_t after = arrival.at - asked->second;
    if (after > kGraceMs && after < kWaitS * 1000) {
      ++counts[gateway];
      record.Line("request " + arrival.id + " reached " + id + " " +
                  std::to_string(after) + " ms after that");
    }
  }
  int most = 0;
  for (const auto& [gateway, count] : counts) {
    most = std::max(most, count);
    record.Line("requests from gateway " + gateway +
                " within the time: " + std::to_string(count));
  }
  record.Line("requests " + std::to_string(sent.load()) + ", served " +
              std::to_string(served.load()) + "; most from one gateway " +
              std::to_string(most) + ", allowed " +
              std::to_string(kMaxArrivals));
  for (const auto& gateway : gateways) gateway->Kill();
  const bool broken = most > kMaxArrivals;
  record.Line(broken ? "BUDGET broken" : "BUDGET held");
  std::_Exit(broken ? 1 : 0);
}
