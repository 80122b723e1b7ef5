// Case: a gateway that follows the registry through its peers misses changes
// after a drill of the store, and sends requests to servers that left long ago.
//   drain_case PROGRAM FOLDER SCRATCH TROUBLE
// With TROUBLE 0 the store stays as it is; the servers come and leave as well.
#include <random>

#include "lab.hpp"

using namespace review;

namespace {

constexpr int kGateways = 4;
constexpr int kServices = 6;
// How long the store is away, and how far back its copy lies.
constexpr milliseconds kAway(400);
constexpr int64_t kCopyAgeMs = 6500;
// Each service gets one more server, as planned work.
constexpr milliseconds kScaleOutAt(12500);
constexpr milliseconds kDrillAt(14000);
// The store has been stable for more than `contactMs` (3 s) then.
constexpr milliseconds kDrainAt(18000);
constexpr milliseconds kDrainTime(2000);
// Some servers serve on for many seconds after they said that they leave.
constexpr milliseconds kLinger(14000);
constexpr milliseconds kRunTime(34000);
constexpr milliseconds kRequestInterval(1300);

class DrainCase {
 public:
  DrainCase(Lab& lab, bool trouble)
      : lab(lab), clients(lab), trouble(trouble) {}

  int Run() {
    json routes = json::array();
    json services = json::array();
    for (int i = 1; i <= kServices; ++i) {
      const std::string service = "desk" + std::to_string(i);
      routes.push_back(Lab::Route(service, "mutating", service, 2000));
      services.push_back({{"name", service},
                          {"healthPath", "/health"},
                          {"maxConns", 100}});
      this->AddServer(service, "a");
      this->AddServer(service, "b");
    }
    this->lab.PutConfiguration(routes, services);
    for (int i = 1; i <= kGateways; ++i) {
      this->lab.Start(this->lab.AddGateway("edge-" + std::to_string(i)));
    }
    this->lab.CheckReadiness();
    this->lab.Every(milliseconds(500), [this] {
      this->copies.push_back({this->lab.Ms(), this->lab.store.current()});
    });
    for (int i = 1; i <= kServices; ++i) {
      this->lab.After(seconds(3) + i * milliseconds(200), [this, i] {
        this->lab.Every(kRequestInterval, [this, i] {
          Gateway& gateway = *this->lab.gateways[this->generator() % kGateways];
          this->clients.Send(gateway, "POST",
                             "/desk" + std::to_string(i) + "/1", {}, "{}",
                             4000);
        });
      });
    }
    this->lab.After(kScaleOutAt, [this] {
      for (int i = 1; i <= kServices; ++i) {
        this->AddServer("desk" + std::to_string(i), "c");
      }
      this->lab.Note("six servers have registered, revision " +
                     std::to_string(this->lab.store.revision()));
    });
    if (this->trouble) {
      this->lab.After(kDrillAt, [this] { this->BeginDrill(); });
    }
    this->lab.After(kDrainAt, [this] { this->Drain(); });
    this->lab.After(kRunTime, [this] { this->lab.loop.Stop(); });
    this->lab.loop.Run();
    return this->Judge();
  }

 private:
  struct KeptCopy {
    int64_t at_ms = 0;
    DrillStore::Copy copy;
  };
  struct Server {
    std::string service;
    std::unique_ptr<Backend> backend;
  };

  void AddServer(const std::string& service, const std::string& name) {
    Backend::Settings settings;
    settings.id = "i-" + service + name;
    settings.slots = 6;
    settings.duration = milliseconds(60);
    this->servers.push_back(
        {service, std::make_unique<Backend>(this->lab.loop, settings,
                                            this->lab.runs)});
    this->lab.PutServer(settings.id, service,
                        this->servers.back().backend->port(), 6);
  }

  void BeginDrill() {
    this->lab.Note("the store goes away, revision " +
                   std::to_string(this->lab.store.revision()));
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

  // One server of each service reports that it drains, and says so in all its
  // answers. It serves on for a while.
  void Drain() {
    for (Server& server : this->servers) {
      const std::string& id = server.backend->id();
      if (!id.ends_with("a")) {
        continue;
      }
      server.backend->leaves = true;
      this->lab.PutServer(id, server.service, server.backend->port(), 6,
                          "draining");
      this->drained[id] = base::Now();
      this->lab.Note(id + " drains, revision " +
                     std::to_string(this->lab.store.revision()));
    }
    this->lab.After(kLinger, [this] {
      this->left = base::Now();
      this->lab.Note("the draining servers end");
      for (const auto& [id, at] : this->drained) {
        this->lab.store.Remove("servers", id);
      }
    });
  }

  int Judge() {
    std::map<std::string, std::string> gateway_of;
    int64_t served = 0;
    for (const auto& sent : this->clients.all) {
      gateway_of[sent->id] = sent->gateway;
      served += sent->complete && sent->status == 200 ? 1 : 0;
    }
    int64_t late = 0;
    for (const Server& server : this->servers) {
      const auto drained = this->drained.find(server.backend->id());
      if (drained == this->drained.end()) {
        continue;
      }
      for (const auto& arrival : server.backend->arrivals) {
        if (!arrival.declined && arrival.at - drained->second > kDrainTime &&
            arrival.at < this->left) {
          ++late;
          this->lab.Note(
              "request " + arrival.request + " reached " +
              server.backend->id() + " from " + gateway_of[arrival.request] +
              " " +
              std::to_string(base::ToMilliseconds(arrival.at -
                                                  drained->second)) +
              " ms after the acknowledgement that it drains");
        }
      }
    }
    this->lab.Note(std::to_string(this->clients.all.size()) + " requests, " +
                   std::to_string(served) + " served, " +
                   std::to_string(late) + " to servers that had left");
    if (served < 60 || this->drained.empty()) {
      return 2;
    }
    this->lab.Note(late > 0 ? "RULE BROKEN: DRAIN" : "rule held: DRAIN");
    return late > 0 ? 1 : 0;
  }

  Lab& lab;
  Clients clients;
  bool trouble;
  std::vector<Server> servers;
  std::vector<KeptCopy> copies;
  std::map<std::string, base::Instant> drained;
  base::Instant left = base::Instant::max();
  std::mt19937 generator{std::random_device{}()};
};

}  // namespace

int main(int argc, char** argv) {
  return review::Main(argc, argv, [](Lab& lab, bool trouble) {
    return DrainCase(lab, trouble).Run();
  });
}
