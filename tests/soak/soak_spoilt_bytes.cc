// Answers without end, and what gateways owe beside them.
#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
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
// The time between two pieces of those who don't send at full speed.
constexpr base::Milliseconds kSlowInterval(5);
// The platform's objects have at most 1 MB.
constexpr size_t kLargeBytes = size_t{900} * 1024;
constexpr base::Milliseconds kLargeEntryInterval(150);
constexpr int64_t kMaxLargeEntries = 300;

// Entries that are almost as large as the store allows.
struct LargeEntries {
  std::string name;
  nlohmann::json entry;
};

nlohmann::json LargeEntry() {
  return {{"service", "other"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},        {"version", std::string(kLargeBytes, 'x')},
          {"slots", 4},         {"state", "up"},
          {"born", 1}};
}

const std::vector<LargeEntries>& AllLargeEntries() {
  const nlohmann::json odd = {{"note", std::string(kLargeBytes, 'x')}};
  static const std::vector<LargeEntries> kAll = {
      {"odd-entries", odd},
      {"long-versions", LargeEntry()},
  };
  return kAll;
}

template <typename Kind>
const Kind& Find(const std::vector<Kind>& kinds, const std::string& name) {
  for (const Kind& kind : kinds) {
    if (kind.name == name) {
      return kind;
    }
  }
  throw std::invalid_argument("nothing is called " + name);
}

// Returns what follows the prefix, or nothing if the name has another one.
std::optional<std::string> After(const std::string& prefix,
                                 const std::string& name) {
  return name.starts_with(prefix) ? std::optional(name.substr(prefix.size()))
                                  : std::nullopt;
}

}  // namespace

void Soak::ScheduleSpoiltBytes() {
  if (this->faults_over || this->settings.spoilt_from_start) {
    return;
  }
  const base::Milliseconds time =
      this->settings.spoilt_bytes == kAnySpoiltBytes
          ? this->SpoilAny()
          : this->Spoil(this->settings.spoilt_bytes);
  this->RunAfter(time, [this] { this->ScheduleSpoiltBytes(); });
}

base::Milliseconds Soak::Spoil(const std::string& name) {
  if (const auto worker = After("worker/", name)) {
    this->SpoilWorkers(Find(EndlessWorkerAnswers(), *worker), 1, kWorkerSpell);
    return kWorkerSpell + kWorkerPause;
  }
  if (const auto store = After("store/", name)) {
    this->SpoilStore(Find(EndlessStoreAnswers(), *store), kStoreSpell);
    return kStoreInterval;
  }
  if (const auto usage = After("usage/", name)) {
    this->SpoilUsage(Find(EndlessUsageAnswers(), *usage), kWorkerSpell);
    return kWorkerSpell + kWorkerPause;
  }
  if (const auto caller = After("caller/", name)) {
    this->SendEndlessRequests(Find(EndlessRequests(), *caller), kWorkerSpell);
    return kWorkerSpell + kWorkerPause;
  }
  if (const auto registry = After("registry/", name)) {
    const auto time =
        std::chrono::duration_cast<base::Milliseconds>(this->settings.duration);
    this->AddLargeEntries(Find(AllLargeEntries(), *registry).name, time);
    return time;
  }
  throw std::invalid_argument("nothing is called " + name);
}

base::Milliseconds Soak::SpoilAny() {
  const auto draw = [this](auto kinds) {
    EndlessBytes bytes = kinds[this->spoil_generator() % kinds.size()];
    if (this->spoil_generator() % 4 == 0) {
      bytes.interval = std::max(bytes.interval, kSlowInterval);
    }
    return bytes;
  };
  // The bits say who spoils; always one of the first three does.
  const auto who = this->spoil_generator() % 32;
  const auto first = this->spoil_generator() % 3;
  if (first == 0 || (who & 1) != 0) {
    this->SpoilWorkers(draw(EndlessWorkerAnswers()),
                       1 + this->spoil_generator() % 2, kWorkerSpell);
  }
  if (first == 1 || (who & 2) != 0) {
    this->SpoilStore(draw(EndlessStoreAnswers()), kStoreSpell);
  }
  if (first == 2 || (who & 12) == 0) {
    this->SendEndlessRequests(draw(EndlessRequests()), kWorkerSpell);
  }
  if ((who & 24) == 0) {
    this->SpoilUsage(draw(EndlessUsageAnswers()), kWorkerSpell);
  }
  return kWorkerSpell + kWorkerPause;
}

void Soak::SpoilWorkers(const EndlessBytes& bytes,
                        size_t of_each,
                        base::Milliseconds time) {
  const base::Instant now = base::Now();
  for (const bool engine : {false, true}) {
    std::vector<Server*> sound;
    for (const auto& server : this->servers) {
      if (server->engine == engine && !server->prefill) {
        sound.push_back(server.get());
      }
    }
    const auto of_service = static_cast<int64_t>(sound.size());
    for (size_t i = 0; i < of_each && sound.size() > 1; ++i) {
      const auto at =
          sound.begin() +
          static_cast<std::ptrdiff_t>(this->spoil_generator() % sound.size());
      this->SpoilWorker(**at, bytes, of_service, now, time);
      sound.erase(at);
    }
  }
}

void Soak::SpoilWorker(Server& server,
                       const EndlessBytes& bytes,
                       int64_t of_service,
                       base::Instant begun,
                       base::Milliseconds time) {
  this->LogEvent(server.backend->id() + " answers with endless " + bytes.name);
  const size_t index = this->spoilt_times.size();
  this->spoilt_times.push_back({server.backend->id() + " (" + bytes.name + ")",
                                &server,
                                of_service,
                                begun,
                                {},
                                0});
  const int64_t before = server.spoiler->spoilt_requests();
  server.spoiler->Begin(bytes);
  this->RunAfter(time, [this, &server, index, before] {
    this->spoilt_times[index].ended = base::Now();
    this->spoilt_times[index].requests =
        server.spoiler->spoilt_requests() - before;
    server.spoiler->End();
  });
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

void Soak::SpoilUsage(const EndlessBytes& bytes, base::Milliseconds time) {
  this->LogEvent("the usage interface answers with endless " + bytes.name);
  for (const Gateway& gateway : this->gateways) {
    gateway.usage_spoiler->Begin(bytes);
  }
  this->RunAfter(time, [this] {
    for (const Gateway& gateway : this->gateways) {
      gateway.usage_spoiler->End();
    }
  });
}

void Soak::SpoilStoreFromStart() {
  const std::string& name = this->settings.spoilt_bytes;
  const auto store = After("store/", name);
  if (name != kAnySpoiltBytes && !store.has_value()) {
    throw std::invalid_argument("no answer of the store: " + name);
  }
  const auto& answers = EndlessStoreAnswers();
  this->SpoilStore(store.has_value()
                       ? Find(answers, *store)
                       : answers[this->spoil_generator() % answers.size()],
                   kStoreSpellFromStart);
}

void Soak::SendEndlessRequests(const EndlessBytes& bytes,
                               base::Milliseconds time) {
  this->LogEvent("callers send endless " + bytes.name);
  for (const Gateway& gateway : this->gateways) {
    for (const std::string& address :
         {gateway.callers_address, gateway.readiness_address,
          gateway.metrics_address, gateway.peers_address}) {
      this->endless_callers.push_back(std::make_unique<EndlessCaller>(
          base::ParseAddress(address).port, bytes));
    }
  }
  this->RunAfter(time, [this] { this->endless_callers.clear(); });
}

void Soak::AddLargeEntries(const std::string& name, base::Milliseconds time) {
  this->LogEvent("large entries in the store: " + name);
  this->AddLargeEntry(name, 0, base::Now() + time);
}

void Soak::AddLargeEntry(const std::string& name,
                         int64_t number,
                         base::Instant until) {
  const auto key = [](int64_t of) { return "large-" + std::to_string(of); };
  if (base::Now() >= until || number >= kMaxLargeEntries) {
    this->RunAfter(std::max(base::Milliseconds(0),
                            std::chrono::duration_cast<base::Milliseconds>(
                                until - base::Now())),
                   [this, number, key] {
                     for (int64_t i = 0; i < number; ++i) {
                       this->store.Remove("servers", key(i));
                     }
                   });
    return;
  }
  const LargeEntries& entries = Find(AllLargeEntries(), name);
  this->store.Put("servers", key(number), entries.entry);
  this->RunAfter(kLargeEntryInterval, [this, name, number, until] {
    this->AddLargeEntry(name, number + 1, until);
  });
}

void Soak::CheckMemory() {
  for (Gateway& gateway : this->gateways) {
    const int64_t used =
        gateway.process.started() ? gateway.process.ResidentBytes() : 0;
    gateway.peak_bytes = std::max(gateway.peak_bytes, used);
    if (used > this->settings.memory_limit_mb * kBytesPerMb) {
      this->AddComplaint(gateway.name + " exceeded its memory, with " +
                         std::to_string(used / kBytesPerMb) + " MB");
      gateway.process.Kill();
      gateway.ready = false;
      gateway.disturbed.push_back({base::Now(), std::nullopt});
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
    int64_t requests = 0;
    std::set<const Server*> counted;
    for (const SpoiltTime& beside : this->spoilt_times) {
      if (beside.begun == spoilt.begun &&
          beside.server->engine == spoilt.server->engine) {
        requests += beside.requests;
        counted.insert(beside.server);
      }
    }
    for (const auto& server : this->servers) {
      if (server->engine != spoilt.server->engine || server->prefill ||
          counted.contains(server.get())) {
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
  const bool draws = this->settings.spoilt_bytes == kAnySpoiltBytes;
  std::map<std::string, int64_t> lost;
  std::map<int, int64_t> statuses;
  for (const auto& call : this->callers->calls()) {
    ++statuses[call->complete ? call->status : 0];
    // The gateway closed the connection, in the time that the caller waits.
    if (!call->complete && call->status == 0 && call->kept_connection &&
        call->ended - call->sent < kAnswerTimeout && run.contains(call->id) &&
        (!draws || !this->WasDisturbed(*call))) {
      ++lost[call->gateway];
    }
  }
  std::cout << "peak memory " << peak / kBytesPerMb << " MB; answers:";
  for (const auto& [status, count] : statuses) {
    std::cout << " " << status << " " << count << " times,";
  }
  std::cout << " 0 for none or an incomplete one\n";
  for (const auto& [gateway, count] : lost) {
    if (count > kMaxLost) {
      this->AddComplaint(gateway + " answered " + std::to_string(count) +
                         " requests not at all that sound servers ran");
    }
  }
}

bool Soak::WasDisturbed(const CallerCall& call) const {
  for (const Gateway& gateway : this->gateways) {
    if (gateway.callers_address != call.gateway) {
      continue;
    }
    return std::any_of(gateway.disturbed.begin(), gateway.disturbed.end(),
                       [&](const Disturbed& disturbed) {
                         return disturbed.begun < call.ended &&
                                disturbed.ended.value_or(call.ended) >
                                    call.sent;
                       });
  }
  return false;
}

}  // namespace carawayvalve::tests
