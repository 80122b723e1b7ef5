#include "peer_gossip.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/core/duty.h"
#include "gossip_format.h"

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// Between two words to each peer. With more peers it is longer, so that what a
// gateway sends and reads grows less than their number.
constexpr base::Milliseconds kTalkInterval(50);
constexpr int64_t kFewPeers = 8;
constexpr base::Milliseconds kMostTalkInterval(1000);
// Between two words of new work, longer with more peers; what comes meanwhile
// goes out together. Beyond so many peers news waits for the next round.
constexpr base::Milliseconds kNewsInterval(10);
constexpr int64_t kMostNewsPeers = 64;
// News waits so long for what follows at once, such as the run of a prompt that
// was read.
constexpr base::Milliseconds kNewsDelay(1);
// A peer that was silent for longer isn't live.
constexpr std::chrono::seconds kLiveTime(3);
// Counts of usage go out in each of so many rounds.
constexpr int64_t kWindowRounds = 10;
// Older windows are sealed.
constexpr int64_t kWindowsTold = 2;
// So many gateways tell one that has just started what all have counted, also
// those that are gone, and of which requests backend servers died. It may be
// among them itself.
constexpr size_t kTellers = 3;
// Accounts a datagram; keeps it within what links carry whole.
constexpr size_t kAccountsPerDatagram = 60;
// While nothing changes here, only so many rounds bring a word, so that peers
// know that this gateway lives and how fresh it is.
constexpr int64_t kQuietRounds = 4;
// Prefixes told in one word; more are left out.
constexpr size_t kMaxPrefixes = 64;
// Deaths are told in each round at first, and now and then later on.
constexpr std::chrono::seconds kNewDeath(2);
constexpr int64_t kOldDeathRounds = 40;
constexpr size_t kMaxDeaths = 16;
// The newest deaths, told to a gateway that has just started.
constexpr size_t kMaxDeathsOfNewcomer = 256;
constexpr int kOk = 200;
constexpr std::chrono::seconds kKeepTime(10);

int64_t Stamp(base::Instant instant) {
  return base::ToMilliseconds(instant.time_since_epoch());
}

int64_t UnixMs() {
  return std::chrono::duration_cast<base::Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

wire::gen::GossipDeath PrintDeath(const core::CrashRecord& mark) {
  wire::gen::GossipDeath told;
  told.content_digest = mark.content_digest;
  told.death_id = mark.death_id;
  told.age_ms = static_cast<int32_t>(base::ToMilliseconds(mark.age));
  return told;
}

// Whether `self` tells the gateway with this boot id what all have counted.
// Processes that know the same live hosts agree on who does.
bool IsTeller(const base::HostId& self,
              const std::string& boot,
              const std::vector<base::HostId>& live) {
  const auto ranked = core::RankHolders("counts/" + boot, live);
  const auto end =
      ranked.begin() + static_cast<int64_t>(std::min(ranked.size(), kTellers));
  return std::find(ranked.begin(), end, self) != end;
}

}  // namespace

PeerGossip::PeerGossip(Context& context,
                       platform::ObjectClient& objects,
                       StoreFeed& feed)
    : context(context),
      registry(context,
               objects,
               [this](const base::HostId& host, const base::Address& address) {
                 this->peers[host].address = address;
               }),
      feed(feed),
      client(context.loop, kKeepTime),
      talk_timer(context.loop),
      news_timer(context.loop) {}

void PeerGossip::Start() {
  const base::Address& address = this->context.beliefs.settings.listen.peers;
  this->datagrams = std::make_unique<net::DatagramSocket>(
      this->context.loop, address,
      [this](const std::string& data, const base::Address& sender) {
        this->OnDatagram(data, sender);
      });
  this->server = std::make_unique<net::HttpServer>(
      this->context.loop, address,
      [this](const std::shared_ptr<net::Exchange>& exchange) {
        this->OnCall(exchange);
      });
  this->context.on_load_changed = [this] { this->OnLoadChanged(); };
  this->registry.Start();
  this->Talk();
}

void PeerGossip::NoteSharers() {
  const auto parts = this->context.beliefs.sharers.SlackDivisor(base::Now());
  const auto before = std::exchange(this->told_sharers, parts);
  if (parts != before) {
    this->context.journal.Write(base::LogLevel::kInfo, "gateways_counted",
                                {{"gateways", parts.value_or(0)},
                                 {"before", before.value_or(0)},
                                 {"heard", this->heard(base::Now())}});
  }
}

void PeerGossip::SetWatchWaits() {
  const GatewaySettings& settings = this->context.beliefs.settings;
  this->feed.SetWatchWaits(core::PlanWatches(
      settings.host, this->LiveHosts(base::Now()), settings.store.watch_wait));
}

base::Duration PeerGossip::Interval() const {
  const auto count = static_cast<int64_t>(this->peers.size());
  const base::Duration interval =
      kTalkInterval * std::max<int64_t>(count, kFewPeers) / kFewPeers;
  return std::min<base::Duration>(interval, kMostTalkInterval);
}

base::Duration PeerGossip::NewsInterval() const {
  const auto count = static_cast<int64_t>(this->peers.size());
  return count > kMostNewsPeers
             ? this->Interval()
             : kNewsInterval * std::max(count, kFewPeers) / kFewPeers;
}

void PeerGossip::OnLoadChanged() {
  if (this->news_due ||
      !core::AffectsPlacement(this->told_loads,
                              this->context.beliefs.load.own())) {
    return;
  }
  this->news_due = true;
  const base::Instant now = base::Now();
  const base::Instant at =
      std::max(now + kNewsDelay, this->loads_told + this->NewsInterval());
  this->news_timer.Start(at - now, [this] { this->TellLoads(); });
}

Gossip PeerGossip::Base() const {
  const Beliefs& beliefs = this->context.beliefs;
  const base::Instant now = base::Now();
  Gossip gossip;
  gossip.host = beliefs.settings.host.value;
  gossip.boot = beliefs.boot.value;
  gossip.stamp = Stamp(now);
  gossip.unix_ms = UnixMs();
  gossip.plan_version = beliefs.table == nullptr ? 0 : beliefs.table->version();
  const auto age = beliefs.freshness.Age(now);
  gossip.proof_age_ms = age.has_value()
                            ? static_cast<int32_t>(std::min<int64_t>(
                                  base::ToMilliseconds(*age) + 1, INT32_MAX))
                            : -1;
  gossip.leaving = this->leaving;
  gossip.registry_revision = this->feed.registry_revision();
  return gossip;
}

Gossip PeerGossip::WithLoads() const {
  Gossip gossip = this->Base();
  for (const auto& [id, load] : this->context.beliefs.load.own()) {
    wire::gen::GossipLoad told;
    told.backend_server = id.value;
    told.requests = static_cast<int32_t>(load.requests);
    told.unread_tokens = static_cast<int32_t>(load.unread_tokens);
    told.kv_tokens = static_cast<int32_t>(load.kv_tokens);
    gossip.loads.push_back(std::move(told));
  }
  const base::Instant now = base::Now();
  for (const auto& [id, until] : this->context.beliefs.changing_roles) {
    if (until > now) {
      wire::gen::GossipAbsence told;
      told.backend_server = id.value;
      told.left_ms = static_cast<int32_t>(base::ToMilliseconds(until - now));
      gossip.absences.push_back(std::move(told));
    }
  }
  gossip.__isset.absences = !gossip.absences.empty();
  return gossip;
}

void PeerGossip::Talk() {
  this->talk_timer.Start(this->Interval(), [this] { this->Talk(); });
  this->NoteSharers();
  std::erase_if(
      this->context.beliefs.changing_roles,
      [now = base::Now()](const auto& change) { return change.second <= now; });
  ++this->rounds;
  if (this->rounds % kQuietRounds == 0) {
    this->SetWatchWaits();
  }
  const bool news = this->told_loads != this->context.beliefs.load.own() ||
                    !this->context.sent_prefixes.empty() ||
                    !this->context.beliefs.changing_roles.empty();
  if (news || this->rounds % kQuietRounds == 0) {
    this->TellLoads();
  }
  const bool due = this->rounds % kWindowRounds == 0;
  if (std::exchange(this->newcomer, false) || due) {
    for (const Gossip& windows : this->WindowMessages(false)) {
      this->Send(windows);
    }
  }
}

void PeerGossip::TellLoads() {
  this->news_timer.Cancel();
  this->news_due = false;
  this->loads_told = base::Now();
  this->told_loads = this->context.beliefs.load.own();
  Gossip gossip = this->WithLoads();
  std::vector<SentPrefix> prefixes =
      std::exchange(this->context.sent_prefixes, {});
  prefixes.resize(std::min(prefixes.size(), kMaxPrefixes));
  for (const SentPrefix& sent : prefixes) {
    wire::gen::GossipPrefix told;
    told.backend_server = sent.backend_server.value;
    told.was_read = sent.read;
    for (const core::PrefixKey& key : sent.keys) {
      told.hashes.push_back(static_cast<int64_t>(key.hash));
      told.tokens.push_back(static_cast<int32_t>(key.tokens));
    }
    gossip.prefixes.push_back(std::move(told));
  }
  this->AddDeaths(gossip);
  this->Send(gossip);
}

void PeerGossip::AddDeaths(Gossip& gossip) const {
  const bool old_ones = this->rounds % kOldDeathRounds == 0;
  for (const core::CrashRecord& mark :
       this->context.beliefs.suspects.Records(base::Now())) {
    if (gossip.deaths.size() >= kMaxDeaths) {
      return;
    }
    if (old_ones || mark.age < kNewDeath) {
      gossip.deaths.push_back(PrintDeath(mark));
    }
  }
}

std::vector<Gossip> PeerGossip::DeathMessages() const {
  std::vector<core::CrashRecord> marks =
      this->context.beliefs.suspects.Records(base::Now());
  std::sort(marks.begin(), marks.end(),
            [](const core::CrashRecord& left, const core::CrashRecord& right) {
              return left.age < right.age;
            });
  marks.resize(std::min(marks.size(), kMaxDeathsOfNewcomer));
  std::vector<Gossip> messages;
  for (const core::CrashRecord& mark : marks) {
    if (messages.empty() || messages.back().deaths.size() >= kMaxDeaths) {
      messages.push_back(this->WithLoads());
    }
    messages.back().deaths.push_back(PrintDeath(mark));
  }
  return messages;
}

std::vector<Gossip> PeerGossip::WindowMessages(bool all_sources) const {
  const Beliefs& beliefs = this->context.beliefs;
  const int64_t present = beliefs.true_time.At(base::Now()) /
                          base::Duration(beliefs.settings.duties.usage_window);
  std::vector<Gossip> messages;
  size_t accounts = kAccountsPerDatagram;
  for (const core::WindowCountsPart& part :
       beliefs.usage.Parts(present - kWindowsTold + 1)) {
    if (!all_sources && part.source != beliefs.boot) {
      continue;
    }
    for (const auto& [account, count] : part.counts) {
      if (accounts >= kAccountsPerDatagram) {
        messages.push_back(this->Base());
        accounts = 0;
      }
      auto& windows = messages.back().windows;
      if (windows.empty() || windows.back().window != part.window ||
          windows.back().source != part.source.value) {
        wire::gen::GossipWindow told;
        told.window = part.window;
        told.source = part.source.value;
        windows.push_back(std::move(told));
      }
      windows.back().counts[account.value] = count;
      ++accounts;
    }
  }
  return messages;
}

void PeerGossip::Send(const Gossip& gossip) {
  Gossip addressed = gossip;
  for (const auto& [host, peer] : this->peers) {
    addressed.echo = peer.stamp;
    this->datagrams->Send(PrintGossip(addressed), peer.address);
  }
}

void PeerGossip::OnDatagram(const std::string& data,
                            const base::Address& sender) {
  const auto gossip = ParseGossip(data);
  if (!gossip.has_value() ||
      gossip->host == this->context.beliefs.settings.host.value) {
    return;
  }
  const base::Instant now = base::Now();
  Beliefs& beliefs = this->context.beliefs;
  const base::HostId host{gossip->host};
  beliefs.sharers.NoteSeen(host);
  Peer& peer = this->peers[host];
  const bool was_silent = now - peer.heard > kLiveTime;
  if (gossip->leaving) {
    this->peers.erase(host);
    beliefs.load.NotePeer(host, {}, now);
    return;
  }
  if (peer.boot != gossip->boot) {
    // One that has just started knows nothing of what others counted.
    this->newcomer = true;
    peer.boot = gossip->boot;
    if (IsTeller(beliefs.settings.host, gossip->boot, this->LiveHosts(now))) {
      for (const Gossip& windows : this->WindowMessages(true)) {
        this->datagrams->Send(PrintGossip(windows), sender);
      }
      for (const Gossip& deaths : this->DeathMessages()) {
        this->datagrams->Send(PrintGossip(deaths), sender);
      }
    }
  }
  if (was_silent) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "peer_heard",
        {{"peer", gossip->host}, {"boot", gossip->boot}});
  }
  peer.address = sender;
  peer.heard = now;
  peer.stamp = std::max(gossip->stamp, int64_t{0});
  beliefs.true_time.RecordPeerTime(host, base::Milliseconds(gossip->unix_ms),
                                   now);
  if (gossip->windows.empty()) {
    this->TakeLoads(*gossip, now);
  }
  for (const wire::gen::GossipWindow& window : gossip->windows) {
    core::WindowCountsPart part{window.window, {window.source}, {}};
    for (const auto& [account, count] : window.counts) {
      part.counts[{account}] = count;
    }
    beliefs.usage.Merge(part);
  }
  this->TakeProof(*gossip, peer);
  this->feed.NoteRegistryRevision(gossip->registry_revision);
}

void PeerGossip::TakeLoads(const Gossip& gossip, base::Instant now) {
  Beliefs& beliefs = this->context.beliefs;
  core::FleetLoad::Loads loads;
  for (const wire::gen::GossipLoad& told : gossip.loads) {
    loads[{told.backend_server}] = {told.requests, told.unread_tokens,
                                    told.kv_tokens};
  }
  beliefs.load.NotePeer({gossip.host}, loads, now);
  for (const wire::gen::GossipPrefix& told : gossip.prefixes) {
    std::vector<core::PrefixKey> keys;
    for (size_t i = 0; i < std::min(told.hashes.size(), told.tokens.size());
         ++i) {
      keys.push_back({static_cast<uint64_t>(told.hashes[i]), told.tokens[i]});
    }
    if (told.was_read) {
      beliefs.homes.NotePrefilled({told.backend_server}, keys);
    } else {
      beliefs.homes.NoteSent({told.backend_server}, keys);
    }
  }
  for (const wire::gen::GossipAbsence& told : gossip.absences) {
    beliefs.health.NoteRoleChangeStarted(
        {told.backend_server}, now + base::Milliseconds(told.left_ms));
  }
  std::vector<core::CrashRecord> deaths;
  for (const wire::gen::GossipDeath& told : gossip.deaths) {
    deaths.push_back(
        {told.content_digest, told.death_id, base::Milliseconds(told.age_ms)});
  }
  beliefs.suspects.Merge(deaths, now);
}

void PeerGossip::TakeProof(const Gossip& gossip, const Peer& peer) {
  Beliefs& beliefs = this->context.beliefs;
  const int64_t own_version =
      beliefs.table == nullptr ? 0 : beliefs.table->version();
  if (gossip.plan_version > own_version) {
    this->FetchPlan(peer.address);
    return;
  }
  if (gossip.plan_version == own_version && own_version > 0 &&
      gossip.echo > 0 && gossip.proof_age_ms >= 0) {
    beliefs.freshness.NotePeerAnswer(
        base::Instant(base::Milliseconds(gossip.echo)),
        base::Milliseconds(gossip.proof_age_ms));
  }
}

void PeerGossip::FetchPlan(const base::Address& address) {
  if (this->plan_call != nullptr) {
    return;
  }
  this->plan_body.clear();
  this->plan_status = 0;
  this->plan_call = this->client.Start(
      address, {"GET", "/plan", {}, {}}, {},
      [this](const net::CallEvent& event) { this->OnPlanCall(event); });
}

void PeerGossip::OnPlanCall(const net::CallEvent& event) {
  if (const auto* head = std::get_if<net::CallHead>(&event)) {
    this->plan_status = head->head.status;
  } else if (const auto* body = std::get_if<net::CallBody>(&event)) {
    this->plan_body += body->data;
  } else if (std::holds_alternative<net::CallFailed>(event)) {
    this->plan_call.reset();
  } else if (std::holds_alternative<net::CallDone>(event)) {
    this->plan_call.reset();
    auto value = std::make_shared<const nlohmann::json>(
        nlohmann::json::parse(this->plan_body, nullptr, false));
    if (this->plan_status == kOk && value->is_object()) {
      this->feed.TakePlan(value, "peer");
    }
  }
}

void PeerGossip::OnCall(const std::shared_ptr<net::Exchange>& exchange) {
  const auto& plan = this->feed.plan_value();
  if (exchange->request().target != "/plan" || plan == nullptr) {
    exchange->Respond({{404, {}}, ""});
    return;
  }
  exchange->Respond(
      {{kOk, {{"Content-Type", "application/json"}}}, plan->dump()});
}

void PeerGossip::Leave() {
  this->leaving = true;
  this->Send(this->Base());
}

std::vector<base::HostId> PeerGossip::LiveHosts(base::Instant now) const {
  std::vector<base::HostId> hosts = {this->context.beliefs.settings.host};
  for (const auto& [host, peer] : this->peers) {
    if (now - peer.heard < kLiveTime) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

int64_t PeerGossip::heard(base::Instant now) const {
  return static_cast<int64_t>(this->LiveHosts(now).size()) - 1;
}

}  // namespace carawayvalve::gateway
