// Case: a gateway that is asked to stop under load cuts off requests that it has
// read and never passed on, without an answer.
//   stop_case PROGRAM FOLDER SCRATCH TROUBLE
// With TROUBLE 0 no gateway is stopped.
#include <algorithm>

#include "lab.hpp"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr int kEngines = 2;
constexpr seconds kStopAt(25);
constexpr seconds kGrace(8);
constexpr seconds kRunTime(40);
constexpr int64_t kDeadlineMs = 15000;

class StopCase {
 public:
  StopCase(Lab& lab, bool trouble)
      : lab(lab), clients(lab), trouble(trouble) {}

  int Run() {
    for (int i = 1; i <= kEngines; ++i) {
      Backend::Settings settings;
      settings.id = "i-engine" + std::to_string(i);
      settings.slots = 6;
      settings.duration = milliseconds(200);
      settings.event_interval = milliseconds(80);
      settings.events = 90;
      this->servers.push_back(std::make_unique<Backend>(
          this->lab.loop, settings, this->lab.runs));
      this->lab.PutServer(settings.id, "models", this->servers.back()->port(),
                          6);
    }
    json route = Lab::Route("reply", "stream", "models", kDeadlineMs);
    route["sloMs"] = 100;
    this->lab.PutConfiguration(
        json::array({route}),
        json::array({json{{"name", "models"},
                          {"healthPath", "/health"},
                          {"maxConns", 140},
                          {"engine", {{"slots", 6}, {"kvTokens", 1826938}}}}}));
    for (int i = 1; i <= kGateways; ++i) {
      this->lab.Start(this->lab.AddGateway("edge-" + std::to_string(i)));
    }
    this->lab.CheckReadiness();
    this->lab.After(seconds(3), [this] {
      this->lab.Every(milliseconds(600), [this] { this->SendRequests(); });
    });
    if (this->trouble) {
      this->lab.After(kStopAt, [this] { this->StopGateway(); });
    }
    this->lab.After(kRunTime, [this] { this->lab.loop.Stop(); });
    this->lab.loop.Run();
    return this->Judge();
  }

 private:
  void SendRequests() {
    for (auto& gateway : this->lab.gateways) {
      if (gateway->ready && this->lab.Runs(*gateway) &&
          this->lab.Ms() < 34000) {
        const std::string part = "p" + std::to_string(++this->next);
        this->clients.Send(*gateway, "POST", "/reply/1",
                           {{"X-Model", "m"},
                            {"X-Token-Count", "220,90"},
                            {"X-Prompt-Prefix", part + ":200"}},
                           "{}", kDeadlineMs);
      }
    }
  }

  void StopGateway() {
    Gateway& gateway = *this->lab.gateways[0];
    this->stopped_ms = this->lab.Ms();
    this->lab.Note("SIGTERM to " + gateway.name);
    kill(gateway.pid, SIGTERM);
    this->lab.After(kGrace, [this, &gateway] {
      if (this->lab.Runs(gateway)) {
        this->lab.Note("SIGKILL to " + gateway.name);
        this->lab.Kill(gateway);
      }
    });
    this->lab.Every(milliseconds(50), [this, &gateway] {
      if (gateway.pid > 0) {
        this->lab.Runs(gateway);
      }
    });
  }

  int Judge() {
    std::set<std::string> arrived;
    for (const auto& server : this->servers) {
      for (const auto& arrival : server->arrivals) {
        arrived.insert(arrival.request);
      }
    }
    int64_t cut = 0;
    int64_t served = 0;
    std::map<int, int> statuses;
    for (const auto& sent : this->clients.all) {
      ++statuses[sent->status];
      served += sent->complete && sent->status == 200 ? 1 : 0;
      if (sent->ended_ms >= 0 && sent->status == 0 && sent->closed &&
          !arrived.contains(sent->id)) {
        ++cut;
        this->lab.Note("cut off unanswered and never passed on: " + sent->id +
                       " to " + sent->gateway + ", sent at " +
                       std::to_string(sent->sent_ms) + " ms, ended at " +
                       std::to_string(sent->ended_ms) + " ms");
      }
    }
    for (const auto& [status, count] : statuses) {
      this->lab.Note("status " + std::to_string(status) + ": " +
                     std::to_string(count));
    }
    this->lab.Note(std::to_string(this->clients.all.size()) + " requests, " +
                   std::to_string(served) + " served, " + std::to_string(cut) +
                   " cut off");
    if (served < 20) {
      return 2;
    }
    this->lab.Note(cut > 0 ? "RULE BROKEN: LOST" : "rule held: LOST");
    return cut > 0 ? 1 : 0;
  }

  Lab& lab;
  Clients clients;
  bool trouble;
  std::vector<std::unique_ptr<Backend>> servers;
  int64_t next = 0;
  int64_t stopped_ms = 0;
};

}  // namespace

int main(int argc, char** argv) {
  return review::Main(argc, argv, [](Lab& lab, bool trouble) {
    return StopCase(lab, trouble).Run();
  });
}
