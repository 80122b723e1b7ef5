// Case: two machines hold the usage duty with one fencing token. The gateways
// are stopped and started in turn, as planned work; meanwhile the store is away
// for a moment and comes back from a copy some seconds old.
//   fence_case PROGRAM FOLDER SCRATCH TROUBLE
// With TROUBLE 0 the store stays as it is; the restarts are the same.
#include <array>

#include "lab.hpp"

using namespace review;

namespace {

constexpr int kGateways = 4;
// The gateway that takes a free lease first when all are live.
constexpr int kFirst = 1;
// How long the store is away, and how far back its copy lies.
constexpr milliseconds kAway(700);
constexpr int64_t kCopyAgeMs = 4000;
constexpr milliseconds kReportToDrill(1500);
// The platform starts a process again this long after its end, and stops the
// next one after a further gap.
constexpr milliseconds kRestartDelay(2000);
constexpr milliseconds kGap(2000);
// The order in which the gateways are stopped: first the holder, later the one
// that takes the duty over.
constexpr std::array<size_t, kGateways> kOrder = {1, 0, 2, 3};
constexpr seconds kRunTime(55);

class FenceCase {
 public:
  FenceCase(Lab& lab, bool trouble)
      : lab(lab), clients(lab), trouble(trouble) {}

  int Run() {
    for (int i = 1; i <= 2; ++i) {
      Backend::Settings settings;
      settings.id = "i-desk" + std::to_string(i);
      this->servers.push_back(std::make_unique<Backend>(
          this->lab.loop, settings, this->lab.runs));
      this->lab.PutServer(settings.id, "desk", this->servers.back()->port(),
                          16);
    }
    this->lab.PutConfiguration(
        json::array({Lab::Route("read", "idempotent", "desk", 2000)}),
        json::array({json{{"name", "desk"}, {"healthPath", "/health"}, {"maxConns", 100}}}));
    for (int i = 1; i <= kGateways; ++i) {
      this->lab.AddGateway("edge-" + std::to_string(i));
    }
    // The first to start takes the duty; the others follow within 0.3 s.
    this->lab.Start(*this->lab.gateways[kFirst]);
    this->lab.After(milliseconds(250), [this] {
      for (int i = 0; i < kGateways; ++i) {
        if (i != kFirst) {
          this->lab.Start(*this->lab.gateways[i]);
        }
      }
    });
    this->lab.CheckReadiness();
    this->lab.store.on_write = [this](const std::string& kind,
                                      const json& object) {
      if (kind == "carawayvalve-leases") {
        this->lab.Note("lease written: " + object["spec"].dump() + " revision " +
                       object["meta"]["rev"].dump());
      }
    };
    // The store copies itself twice a second.
    this->lab.Every(milliseconds(500), [this] {
      this->copies.push_back({this->lab.Ms(), this->lab.store.current()});
      if (this->copies.size() > 40) {
        this->copies.erase(this->copies.begin());
      }
    });
    this->lab.Every(milliseconds(100), [this] { this->SendRequest(); });
    this->lab.After(seconds(13), [this] { this->BeginRestarts(); });
    this->lab.After(kRunTime, [this] { this->lab.loop.Stop(); });
    this->lab.loop.Run();
    return this->Judge();
  }

 private:
  struct KeptCopy {
    int64_t at_ms = 0;
    DrillStore::Copy copy;
  };

  void SendRequest() {
    Gateway& gateway =
        *this->lab.gateways[this->next++ % this->lab.gateways.size()];
    if (gateway.ready && this->lab.Runs(gateway)) {
      this->clients.Send(gateway, "GET", "/read/1", {}, "", 2000);
    }
  }

  void BeginRestarts() {
    if (this->lab.reports.empty() || !this->lab.AllReady()) {
      this->lab.Note("the deployment isn't up: the case can't run");
      this->unable = true;
      this->lab.loop.Stop();
      return;
    }
    this->first_holder = this->lab.reports.back().holder;
    this->StopNext();
    this->AwaitSuccessor();
  }

  void StopNext() {
    if (this->stopped == kOrder.size()) {
      return;
    }
    Gateway& gateway = *this->lab.gateways[kOrder[this->stopped++]];
    this->lab.Note("SIGTERM to " + gateway.name);
    kill(gateway.pid, SIGTERM);
    this->AwaitEnd(gateway);
  }

  void AwaitEnd(Gateway& gateway) {
    if (this->lab.Runs(gateway)) {
      this->lab.After(milliseconds(50), [&] { this->AwaitEnd(gateway); });
      return;
    }
    this->lab.After(kRestartDelay, [&] { this->lab.Start(gateway); });
    this->lab.After(kRestartDelay + kGap, [this] { this->StopNext(); });
  }

  // Waits for a report of the next holder.
  void AwaitSuccessor() {
    const Report& last = this->lab.reports.back();
    if (last.holder == this->first_holder) {
      this->lab.After(milliseconds(50), [this] { this->AwaitSuccessor(); });
      return;
    }
    this->lab.Note("new holder " + last.holder + " with fence " +
                   std::to_string(last.fence));
    if (this->trouble) {
      this->lab.After(kReportToDrill, [this] { this->BeginDrill(); });
    }
  }

  void BeginDrill() {
    this->lab.Note("the store goes away");
    for (auto& gateway : this->lab.gateways) {
      gateway->store_link->Set(Link::Mode::kRefusing);
    }
    const KeptCopy* copy = &this->copies.front();
    for (const KeptCopy& kept : this->copies) {
      if (this->lab.Ms() - kept.at_ms >= kCopyAgeMs) {
        copy = &kept;
      }
    }
    this->lab.After(kAway, [this, copied = *copy] {
      this->lab.store.Restore(copied.copy);
      this->lab.Note("the store is back from a copy of " +
                     std::to_string(copied.at_ms) + " ms, revision " +
                     std::to_string(this->lab.store.revision()) + ", era " +
                     std::to_string(this->lab.store.era()));
      for (auto& gateway : this->lab.gateways) {
        gateway->store_link->Set(Link::Mode::kOpen);
      }
    });
  }

  int Judge() {
    if (this->unable || this->lab.reports.empty()) {
      return 2;
    }
    std::map<int64_t, std::set<std::string>> holders;
    for (const Report& report : this->lab.reports) {
      holders[report.fence].insert(report.holder);
    }
    bool broken = false;
    for (const auto& [fence, names] : holders) {
      std::string text;
      for (const std::string& name : names) {
        text += " " + name;
      }
      this->lab.Note("fence " + std::to_string(fence) + " was sent by" + text);
      broken = broken || names.size() > 1;
    }
    this->lab.Note(broken ? "RULE BROKEN: ONE" : "rule held: ONE");
    return broken ? 1 : 0;
  }

  Lab& lab;
  Clients clients;
  bool trouble;
  std::vector<std::unique_ptr<Backend>> servers;
  std::vector<KeptCopy> copies;
  std::string first_holder;
  size_t stopped = 0;
  size_t next = 0;
  bool unable = false;
};

}  // namespace

int main(int argc, char** argv) {
  return review::Main(argc, argv, [](Lab& lab, bool trouble) {
    return FenceCase(lab, trouble).Run();
  });
}
