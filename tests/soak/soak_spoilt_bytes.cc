// Answers without end, and what gateways owe beside them.
#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <stdexcept>

#include "soak.h"

namespace carawayvalve::tests {

namespace {

constexpr base::Milliseconds kMemoryCheckInterval(10);
constexpr int64_t kBytesPerMb = int64_t{1024} * 1024;
constexpr base::Milliseconds kRestartTime(1000);
// How long the store answers without end, and how long from the start.
constexpr base::Milliseconds kStoreSpell(900);
constexpr base::Milliseconds kStoreSpellFromStart(6000);
constexpr base::Milliseconds kStoreInterval(3000);
// How long a server spoils its answers, and the pause after it.
constexpr base::Milliseconds kWorkerSpell(3000);
constexpr base::Milliseconds kWorkerPause(1500);
// Shares are judged with at least this many requests.
constexpr int64_t kMinRequests = 10;
// Set by the platform: more than so many at one machine break the rule.
constexpr int64_t kMaxLost = 3;
// How long callers wait for an answer.
constexpr base::Milliseconds kAnswerTimeout(3000);

struct SpoiltBytes {
  bool of_store = false;
  const EndlessBytes* bytes = nullptr;
};

std::vector<SpoiltBytes> AllSpoiltBytes() {
  std::vector<SpoiltBytes> all;
  for (const EndlessBytes& bytes : EndlessWorkerAnswers()) {
    all.push_back({false, &bytes});
  }
  for (const EndlessBytes& bytes : EndlessStoreAnswers()) {
    all.push_back({true, &bytes});
  }
  return all;
}

SpoiltBytes FindSpoiltBytes(const std::string& name) {
  for (const SpoiltBytes& one : AllSpoiltBytes()) {
    if (name == (one.of_store ? "store/" : "worker/") + one.bytes->name) {
      return one;
    }
  }
  throw std::invalid_argument("no answer is called " + name);
}

}  // namespace

void Soak::ScheduleSpoiltBytes() {
  if (this->faults_over || this->settings.spoilt_from_start) {
    return;
  }
  const std::vector<SpoiltBytes> all = AllSpoiltBytes();
  const SpoiltBytes spoilt = this->settings.spoilt_bytes == kAnySpoiltBytes
                                 ? all[this->spoil_generator() % all.size()]
                                 : FindSpoiltBytes(this->settings.spoilt_bytes);
  if (spoilt.of_store) {
    this->SpoilStore(*spoilt.bytes, kStoreSpell);
    this->RunAfter(kStoreInterval, [this] { this->ScheduleSpoiltBytes(); });
  } else {
    this->SpoilWorkers(*spoilt.bytes, kWorkerSpell);
    this->RunAfter(kWorkerSpell + kWorkerPause,
                   [this] { this->ScheduleSpoiltBytes(); });
  }
}

void Soak::SpoilWorkers(const EndlessBytes& bytes, base::Milliseconds time) {
  for (const bool engine : {false, true}) {
    std::vector<Server*> of_service;
    for (const auto& server : this->servers) {
      if (server->engine == engine && !server->prefill) {
        of_service.push_back(server.get());
      }
    }
    Server* const server =
        of_service[this->spoil_generator() % of_service.size()];
    this->LogEvent(server->backend->id() + " answers with endless " +
                   bytes.name);
    const size_t index = this->spoilt_times.size();
    this->spoilt_times.push_back(
        {server->backend->id() + " (" + bytes.name + ")",
         server,
         static_cast<int64_t>(of_service.size()),
         base::Now(),
         {},
         0});
    const int64_t before = server->spoiler->spoilt_requests();
    server->spoiler->Begin(bytes);
    this->RunAfter(time, [this, server, index, before] {
      this->spoilt_times[index].ended = base::Now();
      this->spoilt_times[index].requests =
          server->spoiler->spoilt_requests() - before;
      server->spoiler->End();
    });
  }
}

void Soak::SpoilStore(const EndlessBytes& bytes, base::Milliseconds time) {
  this->LogEvent("the store answers with endless " + bytes.name);
  for (const Gateway& gateway : this->gateways) {
    gateway.store_spoiler->Begin(bytes);
  }
  this->RunAfter(time, [this] {
    for (const Gateway& gateway : this->gateways) {
      gateway.store_spoiler->End();
    }
  });
}

void Soak::SpoilStoreFromStart() {
  const SpoiltBytes spoilt =
      this->settings.spoilt_bytes == kAnySpoiltBytes
          ? SpoiltBytes{true, &EndlessStoreAnswers().front()}
          : FindSpoiltBytes(this->settings.spoilt_bytes);
  this->SpoilStore(*spoilt.bytes, kStoreSpellFromStart);
}

void Soak::CheckMemory() {
  for (Gateway& gateway : this->gateways) {
    const int64_t used =
        gateway.process.started() ? gateway.process.ResidentBytes() : 0;
    gateway.peak_bytes = std::max(gateway.peak_bytes, used);
    if (used > kMemoryMb * kBytesPerMb) {
      this->AddComplaint(gateway.name + " exceeded its memory, with " +
                         std::to_string(used / kBytesPerMb) + " MB");
      gateway.process.Kill();
      gateway.ready = false;
      this->RunAfter(kRestartTime, [this, &gateway] {
        if (!gateway.process.started()) {
          this->StartGateway(gateway);
        }
      });
    }
  }
  this->RunAfter(kMemoryCheckInterval, [this] { this->CheckMemory(); });
}

void Soak::CheckSpoiltShares() {
  for (const SpoiltTime& spoilt : this->spoilt_times) {
    int64_t requests = spoilt.requests;
    for (const auto& server : this->servers) {
      if (server->engine != spoilt.server->engine || server->prefill ||
          server.get() == spoilt.server) {
        continue;
      }
      requests += std::count_if(
          server->backend->arrivals.begin(), server->backend->arrivals.end(),
          [&](const BackendArrival& arrival) {
            return arrival.at >= spoilt.begun && arrival.at < spoilt.ended;
          });
    }
    std::cout << spoilt.what << " got " << spoilt.requests << " of " << requests
              << " requests\n";
    if (requests >= kMinRequests &&
        spoilt.requests * spoilt.servers > requests) {
      this->AddComplaint(spoilt.what + " got " +
                         std::to_string(spoilt.requests) + " of " +
                         std::to_string(requests) + " requests, one of " +
                         std::to_string(spoilt.servers) + " servers");
    }
  }
}

void Soak::CheckLostBesideSpoiltBytes() {
  if (this->settings.spoilt_bytes.empty()) {
    return;
  }
  int64_t peak = 0;
  for (const Gateway& gateway : this->gateways) {
    peak = std::max(peak, gateway.peak_bytes);
  }
  std::set<std::string> run;
  for (const BackendRun& one : this->runs) {
    run.insert(one.request);
  }
  std::map<std::string, int64_t> lost;
  std::map<int, int64_t> statuses;
  for (const auto& call : this->callers->calls()) {
    ++statuses[call->complete ? call->status : 0];
    // The gateway closed the connection, in the time that the caller waits.
    if (!call->complete && call->status == 0 && call->kept_connection &&
        call->ended - call->sent < kAnswerTimeout && run.contains(call->id)) {
      ++lost[call->gateway];
    }
  }
  std::cout << "peak memory " << peak / kBytesPerMb << " MB; answers:";
  for (const auto& [status, count] : statuses) {
    std::cout << " " << status << " " << count << " times,";
  }
  std::cout << " 0 for none or an incomplete one\n";
  for (const auto& [gateway, count] : lost) {
    if (this->settings.spoilt_bytes != kAnySpoiltBytes && count > kMaxLost) {
      this->AddComplaint(gateway + " answered " + std::to_string(count) +
                         " requests not at all that sound servers ran");
    }
  }
}

}  // namespace carawayvalve::tests
