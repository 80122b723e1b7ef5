// The faults and planned operations of a soak.
#include <signal.h>

#include <algorithm>
#include <iterator>

#include "soak.h"

namespace carawayvalve::tests {

using std::chrono::seconds;

namespace {

constexpr size_t kMinServersPerService = 2;
// Time between two successive kills, and from a kill to the restart.
constexpr base::Milliseconds kKillInterval(800);
constexpr base::Milliseconds kRestartTime(100);
// How long the entry of a crashed backend server stays in the store.
constexpr base::Milliseconds kEntryLifetime(3600);
// Longer than the time after which a gateway tries another backend server.
constexpr base::Milliseconds kSlowServiceDelay(1500);
// Streams of each engine that are cut at a time, of those that are taken up.
constexpr int kCutsOfAll = 3;

}  // namespace

void Soak::ScheduleFault() {
  static constexpr Disturbance kPlannedOperations[] = {
      &Soak::StopGateway, &Soak::ReplaceServer, &Soak::ChangeRoutes};
  static constexpr Disturbance kAllDisturbances[] = {
      &Soak::KillGateway,    &Soak::PauseGateway,       &Soak::StopGateway,
      &Soak::DisturbStore,   &Soak::DisturbStoreLink,   &Soak::DisturbStoreLink,
      &Soak::DisturbBackend, &Soak::DisturbBackendLink, &Soak::ReplaceServer,
      &Soak::WithdrawKey,    &Soak::ChangeRoutes};
  if (this->faults_over) {
    return;
  }
  const Disturbance step =
      this->settings.planned_only
          ? kPlannedOperations[this->generator() %
                               std::size(kPlannedOperations)]
          : kAllDisturbances[this->generator() % std::size(kAllDisturbances)];
  (this->*step)();
  this->RunAfter(this->RandomDuration(100, 900),
                 [this] { this->ScheduleFault(); });
}

void Soak::KillGateway() {
  Gateway& gateway = this->Pick(this->gateways);
  this->LogEvent("kill " + gateway.name);
  if (gateway.process.started()) {
    gateway.process.Kill();
    gateway.disturbed.push_back({base::Now(), std::nullopt});
    this->RunAfter(this->RandomDuration(200, 1500), [this, &gateway] {
      if (!gateway.process.started()) {
        this->StartGateway(gateway);
      }
    });
  }
}

void Soak::PauseGateway() {
  Gateway& gateway = this->Pick(this->gateways);
  const base::Milliseconds duration = this->RandomDuration(200, 6500);
  this->LogEvent("pause " + gateway.name + " for " +
                 std::to_string(duration.count()) + " ms");
  gateway.paused_until = std::max(gateway.paused_until, base::Now() + duration);
  gateway.disturbed.push_back({base::Now(), base::Now() + duration});
  gateway.process.Signal(SIGSTOP);
  this->RunAfter(duration, [&gateway] { gateway.process.Signal(SIGCONT); });
}

void Soak::StopGateway() {
  const auto stopping =
      std::count_if(this->gateways.begin(), this->gateways.end(),
                    [](const Gateway& one) { return one.stopping; });
  Gateway& gateway = this->Pick(this->gateways);
  if (stopping > 0 || !gateway.process.started()) {
    return;
  }
  this->LogEvent("stop " + gateway.name);
  // The platform's balancer redirects new connections with a delay; callers
  // here do so at once, and keep using the connections that they have.
  gateway.stopping = true;
  gateway.stop_requested = base::Now();
  gateway.disturbed.push_back({base::Now(), std::nullopt});
  gateway.process.Signal(SIGTERM);
}

void Soak::DisturbStore() {
  const auto kind = this->generator() % 4;
  this->LogEvent("disturb store " + std::to_string(kind));
  this->store.refuses = kind == 0;
  this->store.down = kind == 1;
  this->store.lost_writes = kind == 2 ? 3 : 0;
  if (kind == 3) {
    this->store.Compact();
  }
  this->RunAfter(this->RandomDuration(300, 3000), [this] {
    this->store.refuses = false;
    this->store.down = false;
  });
}

namespace {

void DisturbLink(Link& link, uint32_t kind, base::Milliseconds delay) {
  switch (kind % 5) {
    case 0:
      link.Set(Link::Mode::kSilent);
      return;
    case 1:
      link.Set(Link::Mode::kOneWay);
      return;
    case 2:
      link.Set(Link::Mode::kRefusing);
      return;
    case 3:
      link.Reset();
      return;
    default:
      link.SetDelay(delay);
  }
}

}  // namespace

void Soak::DisturbStoreLink() {
  Gateway& gateway = this->Pick(this->gateways);
  const auto kind = static_cast<uint32_t>(this->generator());
  this->LogEvent("disturb store link of " + gateway.name + " " +
                 std::to_string(kind % 5));
  for (Link* link : {gateway.store_link.get(), gateway.usage_link.get()}) {
    DisturbLink(*link, kind, this->RandomDuration(20, 400));
  }
  this->RunAfter(this->RandomDuration(300, 7000), [this, &gateway] {
    this->LogEvent("open links of " + gateway.name);
    gateway.usage_link_reopened = base::Now();
    for (Link* link : {gateway.store_link.get(), gateway.usage_link.get()}) {
      link->Set(Link::Mode::kOpen);
      link->SetDelay(base::Milliseconds(0));
    }
  });
}

void Soak::DisturbBackendLink() {
  Server& server = *this->Pick(this->servers);
  const auto kind = static_cast<uint32_t>(this->generator());
  this->LogEvent("disturb link of " + server.backend->id() + " " +
                 std::to_string(kind % 5));
  DisturbLink(*server.link, kind, this->RandomDuration(5, 100));
  this->RunAfter(this->RandomDuration(300, 3000), [&server] {
    server.link->Set(Link::Mode::kOpen);
    server.link->SetDelay(base::Milliseconds(0));
  });
}

void Soak::DisturbBackend() {
  Server& server = *this->Pick(this->servers);
  const auto kind = this->generator() % 3;
  this->LogEvent("disturb " + server.backend->id() + " " +
                 std::to_string(kind));
  server.backend->never_answers = kind == 0;
  server.backend->lost_answers = kind == 1 ? 4 : 0;
  server.backend->declines = kind == 2;
  this->RunAfter(this->RandomDuration(300, 2500), [&server] {
    server.backend->never_answers = false;
    server.backend->declines = false;
  });
}

void Soak::ScheduleKillsInTurn() {
  const auto set = [this](bool declines) {
    for (const auto& server : this->servers) {
      server->backend->declines = declines;
    }
  };
  const auto duration =
      std::chrono::duration_cast<base::Milliseconds>(this->settings.duration);
  // The gateways have discovered one another by this time.
  const base::Milliseconds begin = duration / 2;
  this->RunAfter(begin, [set] { set(true); });
  this->RunAfter(duration, [set] { set(false); });
  for (size_t i = 0; begin + kKillInterval * (i + 1) < duration; ++i) {
    this->RunAfter(begin + kKillInterval * (i + 1), [this, i] {
      Gateway& gateway = this->gateways[i % this->gateways.size()];
      this->LogEvent("kill " + gateway.name);
      gateway.process.Kill();
      this->RunAfter(kRestartTime,
                     [this, &gateway] { this->StartGateway(gateway); });
    });
  }
}

// Makes all backend servers of a service fail, answer slowly, or decline for a
// while, so that every gateway has more retries to make than its budget allows.
void Soak::ScheduleServiceFault() {
  if (this->faults_over) {
    return;
  }
  const auto random_duration = [this](int min, int max) {
    return base::Milliseconds(
        std::uniform_int_distribution<int>(min, max)(this->service_generator));
  };
  const bool engine = this->service_generator() % 2 == 0;
  const auto kind = this->service_generator() % 3;
  this->LogEvent(std::string("disturb all servers of ") +
                 (engine ? "models " : "desk ") + std::to_string(kind));
  const auto set = [this, engine, kind](bool disturbed) {
    for (const auto& server : this->servers) {
      if (server->engine == engine) {
        server->backend->fails = disturbed && kind == 0;
        server->backend->extra_duration =
            disturbed && kind == 1 ? kSlowServiceDelay : base::Milliseconds(0);
        server->backend->declines = disturbed && kind == 2;
      }
    }
  };
  set(true);
  this->RunAfter(random_duration(1000, 5000), [set] { set(false); });
  this->RunAfter(random_duration(2000, 7000),
                 [this] { this->ScheduleServiceFault(); });
}

void Soak::ScheduleCutStreams() {
  for (const auto& server : this->servers) {
    server->backend->stream_framing = net::BodyFraming::kChunked;
    server->backend->cut_streams = 0;
  }
  if (this->faults_over) {
    return;
  }
  Backend& backend =
      *this->servers[this->stream_generator() % this->servers.size()]->backend;
  const bool until_close = this->stream_generator() % 3 != 0;
  backend.stream_framing = until_close ? net::BodyFraming::kConnectionClose
                                       : net::BodyFraming::kChunked;
  backend.cut_streams = static_cast<int>(this->stream_generator() % 4);
  if (this->settings.versions) {
    // Streams that go on are cut as well.
    for (const auto& server : this->servers) {
      server->backend->cut_streams = kCutsOfAll;
    }
  }
  this->LogEvent("cut " + std::to_string(backend.cut_streams) + " streams of " +
                 backend.id() + (until_close ? ", unframed" : ", chunked"));
  this->RunAfter(base::Milliseconds(300 + this->stream_generator() % 1000),
                 [this] { this->ScheduleCutStreams(); });
}

void Soak::ScheduleDrills() {
  if (this->faults_over) {
    return;
  }
  const auto copy = this->store.Backup();
  const base::Milliseconds age(500 + this->drill_generator() % 4000);
  const base::Milliseconds away(this->drill_generator() % 800);
  this->RunAfter(age, [this, copy, age, away] {
    this->LogEvent("return the store to its state of " +
                   std::to_string(age.count()) + " ms ago, after " +
                   std::to_string(away.count()) + " ms");
    this->store.down = true;
    this->RunAfter(away, [this, copy] {
      this->store.down = false;
      this->store.ReturnTo(*copy);
      this->store.WriteAgain();
      this->RunAfter(base::Milliseconds(this->drill_generator() % 3000),
                     [this] { this->ScheduleDrills(); });
    });
  });
}

void Soak::ScheduleResets() {
  if (this->faults_over) {
    return;
  }
  const Server& server = *this->Pick(this->servers);
  if (server.link != nullptr) {
    this->LogEvent("reset connections of " + server.backend->id());
    server.link->Reset();
  }
  this->RunAfter(this->RandomDuration(300, 1200),
                 [this] { this->ScheduleResets(); });
}

void Soak::OnEngineCrash(Server& server) {
  this->crashes.push_back(base::Now());
  this->LogEvent("crash of " + server.backend->id());
  // Later, as the crash is noticed while a connection is in use.
  this->RunAfter(base::Milliseconds(0), [&server] { server.link.reset(); });
  this->RunAfter(kEntryLifetime, [this, id = server.backend->id()] {
    this->store.Remove("servers", id);
  });
  this->RunAfter(this->RandomDuration(1000, 2500), [this, &server] {
    this->AddServer(server.engine, server.prefill);
  });
}

// Starts a new backend server, drains an old one and removes it.
void Soak::ReplaceServer() {
  Server& old = *this->Pick(this->servers);
  const auto same_service = std::count_if(
      this->servers.begin(), this->servers.end(), [&](const auto& one) {
        return one->engine == old.engine && !one->draining;
      });
  if (old.draining ||
      static_cast<size_t>(same_service) < kMinServersPerService) {
    return;
  }
  this->LogEvent("replace " + old.backend->id());
  const bool is_upgrade = this->settings.versions && this->generator() % 3 == 0;
  this->AddServer(old.engine, old.prefill,
                  is_upgrade ? old.version + 1 : old.version);
  old.draining = true;
  old.drained = base::Now();
  this->Register(old, true);
  this->RunAfter(seconds(4), [this, id = old.backend->id()] {
    this->store.Remove("servers", id);
  });
}

void Soak::WithdrawKey() {
  Callers::Account& account = this->Pick(this->accounts);
  if (this->withdrawn.contains(account.key)) {
    return;
  }
  this->LogEvent("withdraw " + account.key);
  // The account gets another key at the same time; some callers keep using the
  // old one.
  this->withdrawn[account.key] = base::Now();
  this->accounts.push_back(
      {account.name,
       "key-" + account.name + "-" + std::to_string(++this->last_key)});
  this->WriteConfiguration();
}

void Soak::ChangeRoutes() {
  this->timeout_ms = 2000 + static_cast<int64_t>(this->generator() % 2000);
  this->LogEvent("timeout " + std::to_string(this->timeout_ms));
  this->WriteConfiguration();
}

}  // namespace carawayvalve::tests
