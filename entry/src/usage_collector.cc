#include "usage_collector.h"

#include <algorithm>
#include <set>

#include "EntryPeer.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::entry {

namespace {

constexpr base::Milliseconds kAgentTimeout{300};
constexpr base::Milliseconds kPeerTimeout{1000};
// A process whose call timed out is skipped for this long, so that it doesn't
// delay the calls to other processes in each round.
constexpr std::chrono::seconds kSkipDuration{10};
// Limits the collection before a seal, once for the agents and once for the
// peers.
constexpr std::chrono::seconds kMaxCollectTime{5};
// The counters of the whole collection must fit into one message to a peer.
constexpr size_t kMaxCounters = 100000;

core::UsageCounter FromWire(const wire::gen::UsageCounter& counter) {
  return {{counter.client_account},
          counter.window,
          {counter.requests, counter.prompt_tokens, counter.output_tokens}};
}

wire::gen::UsageCounter ToWire(int64_t window,
                               const base::ClientAccountId& client_account,
                               const core::UsageFigures& figures) {
  wire::gen::UsageCounter counter;
  counter.client_account = client_account.value;
  counter.window = window;
  counter.requests = figures.requests;
  counter.prompt_tokens = figures.prompt_tokens;
  counter.output_tokens = figures.output_tokens;
  return counter;
}

// Returns the agent's window, which the answer gives in a counter without an
// account, or 0 if there is none.
int64_t WindowMarkerIn(const wire::gen::UsageCounters& answer) {
  int64_t window = 0;
  for (const wire::gen::UsageCounter& counter : answer.counters) {
    if (counter.client_account.empty()) {
      window = std::max(window, counter.window);
    }
  }
  return window;
}

}  // namespace

UsageCollector::Agent::Agent(const std::string& address)
    : channel(address, kAgentTimeout) {}

UsageCollector::UsageCollector(const EntrySettings& settings)
    : region(settings.region),
      self(settings.host),
      interval(settings.usage_collect_interval_ms),
      thread([this] { this->Run(); }) {}

UsageCollector::~UsageCollector() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->thread.join();
}

void UsageCollector::SetHosts(const std::vector<systems::Host>& hosts,
                              const std::vector<systems::Host>& linked_hosts) {
  const std::lock_guard lock(this->mutex);
  this->linked_agents.clear();
  this->region_agents.clear();
  this->region_peers.clear();
  for (const systems::Host& host : linked_hosts) {
    // Each region numbers its windows independently.
    if (host.region == this->region) {
      this->linked_agents.push_back(host.address);
    }
  }
  for (const systems::Host& host : hosts) {
    if (host.region != this->region) {
      continue;
    }
    if (host.role == systems::HostRole::kBackend) {
      this->region_agents.push_back(host.address);
    } else if (host.name != this->self) {
      this->region_peers.push_back(host.address);
    }
  }
}

void UsageCollector::NoteOpenWindow(int64_t window) {
  const std::lock_guard lock(this->mutex);
  this->open_window = std::max(this->open_window, window);
}

void UsageCollector::CollectRegion(int64_t first_window) {
  std::vector<std::string> agent_addresses;
  std::vector<std::string> peer_addresses;
  {
    const std::lock_guard lock(this->mutex);
    agent_addresses = this->region_agents;
    peer_addresses = this->region_peers;
  }
  this->ReadAgents(agent_addresses, base::Now() + kMaxCollectTime);
  this->ReadPeers(peer_addresses, first_window, base::Now() + kMaxCollectTime);
}

void UsageCollector::ReadCollection(
    const std::function<void(const core::UsageCollection&)>& reader) const {
  const std::lock_guard lock(this->mutex);
  reader(this->collection);
}

std::vector<wire::gen::UsageCounters> UsageCollector::CountersSince(
    int64_t first_window) const {
  std::map<base::BootId, wire::gen::UsageCounters> by_agent;
  const std::lock_guard lock(this->mutex);
  for (const int64_t window : this->collection.Windows()) {
    if (window < first_window) {
      continue;
    }
    for (const auto& [agent, accounts] : this->collection.UsageOf(window)) {
      wire::gen::UsageCounters& counters = by_agent[agent];
      counters.agent_boot = agent.value;
      for (const auto& [account, figures] : accounts) {
        counters.counters.push_back(ToWire(window, account, figures));
      }
    }
  }
  std::vector<wire::gen::UsageCounters> answer;
  answer.reserve(by_agent.size());
  for (auto& [agent, counters] : by_agent) {
    answer.push_back(std::move(counters));
  }
  return answer;
}

void UsageCollector::Run() {
  do {
    std::vector<std::string> addresses;
    {
      const std::lock_guard lock(this->mutex);
      addresses = this->linked_agents;
    }
    this->ReadAgents(addresses, base::Instant::max());
  } while (this->Sleep());
}

bool UsageCollector::Sleep() {
  std::unique_lock lock(this->mutex);
  return !this->changed.wait_for(lock, this->interval,
                                 [&] { return this->stopping; });
}

bool UsageCollector::IsStopping() const {
  const std::lock_guard lock(this->mutex);
  return this->stopping;
}

void UsageCollector::ReadAgents(const std::vector<std::string>& addresses,
                                base::Instant until) {
  const std::lock_guard lock(this->call_mutex);
  std::set<std::string> listed;
  {
    const std::lock_guard data_lock(this->mutex);
    listed.insert(this->region_agents.begin(), this->region_agents.end());
  }
  std::erase_if(this->agents, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  for (const std::string& address : addresses) {
    if (this->IsStopping() || base::Now() >= until) {
      return;
    }
    Agent& agent = this->agents.try_emplace(address, address).first->second;
    this->CallUnlessSkipped(address, kAgentTimeout, [&] {
      if (!this->ReadOnce(agent)) {
        this->ReadOnce(agent);
      }
    });
  }
}

void UsageCollector::CallUnlessSkipped(const std::string& address,
                                       base::Milliseconds timeout,
                                       const std::function<void()>& call) {
  const base::Instant started_at = base::Now();
  std::erase_if(this->skipped_until,
                [&](const auto& entry) { return entry.second <= started_at; });
  if (this->skipped_until.contains(address)) {
    return;
  }
  try {
    call();
  } catch (const base::Error&) {
    // A process that refuses at once is not skipped: it costs no time in the
    // next round either.
    if (base::Now() - started_at >= timeout / 2) {
      this->skipped_until[address] = base::Now() + kSkipDuration;
    }
  }
}

bool UsageCollector::ReadOnce(Agent& agent) {
  wire::gen::UsageCounters answer;
  const int64_t open_window_now = this->OpenWindow();
  agent.channel.Invoke("collect usage", [&](wire::gen::AgentClient& client) {
    client.usage(answer, agent.window, open_window_now);
  });
  this->Merge({answer});
  if (answer.agent_boot != agent.boot.value) {
    const bool requested_all = agent.window == 0;
    agent.boot = {answer.agent_boot};
    agent.window = 0;
    if (!requested_all) {
      return false;
    }
  }
  agent.window = std::max(agent.window, WindowMarkerIn(answer));
  return true;
}

void UsageCollector::ReadPeers(const std::vector<std::string>& addresses,
                               int64_t first_window,
                               base::Instant until) {
  const std::lock_guard lock(this->call_mutex);
  for (const std::string& address : addresses) {
    if (this->IsStopping() || base::Now() >= until) {
      return;
    }
    this->CallUnlessSkipped(address, kPeerTimeout,
                            [&] { this->ReadPeer(address, first_window); });
  }
}

void UsageCollector::ReadPeer(const std::string& address,
                              int64_t first_window) {
  std::vector<wire::gen::UsageCounters> answers;
  wire::Channel<wire::gen::EntryPeerClient> channel(address, kPeerTimeout);
  const int64_t open_window_now = this->OpenWindow();
  channel.Invoke("gather usage", [&](wire::gen::EntryPeerClient& client) {
    client.usage(answers, first_window, open_window_now);
  });
  this->Merge(answers);
}

void UsageCollector::Merge(
    const std::vector<wire::gen::UsageCounters>& answers) {
  const std::lock_guard lock(this->mutex);
  for (const wire::gen::UsageCounters& answer : answers) {
    for (const wire::gen::UsageCounter& counter : answer.counters) {
      this->collection.Merge({answer.agent_boot}, FromWire(counter));
    }
  }
  this->collection.DropOldest(kMaxCounters);
}

int64_t UsageCollector::OpenWindow() const {
  const std::lock_guard lock(this->mutex);
  return this->open_window;
}

}  // namespace carawayvalve::entry
