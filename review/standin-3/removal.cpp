// A worker leaves: its entry is removed and it goes on serving. The store cuts
// off waiting watches around that.
#include "world.hpp"

using namespace world;

namespace {

constexpr int64_t kDrainMs = 2000;
constexpr int64_t kContactMs = 3000;
// Between two bookings: 19.5 a second, as on the sheet.
constexpr int64_t kBookingMs = 51;
// The cuts, relative to the removal.
constexpr int64_t kFirstCutMs = -300;
constexpr int64_t kSecondCutMs = 1700;
// How long the worker goes on serving after its entry is gone.
constexpr int64_t kServesOnMs = 3500;

}  // namespace

// removal PROGRAM FOLDER RECORD
int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  const bool troubled = Troubled();
  Store store(record);
  Cloud cloud(record);
  store.Put("config", "main", Configuration());
  Worker::Settings settings;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 3; ++i) {
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
  std::atomic<bool> ends = false;
  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::thread traffic([&] {
    for (int i = 0; !ends; ++i) {
      std::thread([&, i] {
        const std::string id = "r" + std::to_string(i);
        const Reply reply = Call(gateways[i % 4]->front, "/book/" + std::to_string(i),
                                 id, "sound", 2000);
        record.Line("client sent " + id + " and got " +
                    std::to_string(reply.status));
        const std::lock_guard lock(mutex);
        statuses[id] = reply.status;
      }).detach();
      SleepMs(kBookingMs);
    }
  });
  // All machines are in touch, and the store is stable.
  SleepMs(2 * kContactMs);

  const int64_t removal = NowMs() - kFirstCutMs;
  if (troubled) {
    record.Line("the store cuts off waiting watches: " +
                std::to_string(store.CutWatches("servers")));
  }
  SleepMs(removal - NowMs());
  // The worker that has had the most requests leaves: one without any would
  // show nothing.
  Worker& leaving = **std::max_element(
      workers.begin(), workers.end(), [](const auto& one, const auto& other) {
        return one->arrivals().size() < other->arrivals().size();
      });
  const std::string id = leaving.id();
  const int64_t gone = store.Remove("servers", id);
  record.Line("the entry of " + id + " is removed; it goes on serving");
  SleepMs(removal + kSecondCutMs - NowMs());
  if (troubled) {
    record.Line("the store cuts off waiting watches: " +
                std::to_string(store.CutWatches("servers")));
  }
  SleepMs(gone + kServesOnMs - NowMs());
  leaving.Exit();
  record.Line(id + " exits");
  SleepMs(500);
  ends = true;
  traffic.join();
  SleepMs(2500);

  int late = 0;
  int lost = 0;
  int64_t latest = 0;
  for (const Arrival& arrival : leaving.arrivals()) {
    const int64_t after = arrival.at - gone;
    if (after < 0) continue;
    latest = std::max(latest, after);
    const bool is_late = after > kDrainMs;
    late += is_late ? 1 : 0;
    lost += is_late && !arrival.finished ? 1 : 0;
    record.Line("request " + arrival.id + " reached " + id + " " +
                std::to_string(after) + " ms after its removal" +
                (is_late ? " LATE" : "") +
                (arrival.finished ? "" : ", cut off by its exit") +
                ", its client got " + std::to_string(statuses[arrival.id]));
  }
  std::map<int, int> counts;
  for (const auto& [request, status] : statuses) ++counts[status];
  for (const auto& [status, count] : counts) {
    record.Line("clients got " + std::to_string(status) + ": " +
                std::to_string(count));
  }
  record.Line("requests that reached the worker later than " +
              std::to_string(kDrainMs) + " ms after its removal: " +
              std::to_string(late) + "; the last after " +
              std::to_string(latest) + " ms; cut off by its exit: " +
              std::to_string(lost));
  for (const auto& gateway : gateways) gateway->Kill();
  record.Line(late > 0 ? "DRAIN broken" : "DRAIN held");
  std::_Exit(late > 0 ? 1 : 0);
}
