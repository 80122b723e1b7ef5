#include "peer_gossip.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/core/duty.h"
#include "duty_holder.h"
#include "gossip_format.h"

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// The interval between two messages to each peer. It grows with the number of
// peers, up to a maximum, so that the traffic of a gateway grows more slowly
// than that number.
constexpr base::Milliseconds kBaseGossipInterval(50);
constexpr int64_t kPeersAtBaseInterval = 8;
constexpr base::Milliseconds kMaxGossipInterval(1000);
// The minimum interval between two updates about changed loads, longer with
// more peers; changes in between are sent together. With more peers than the
// maximum, changes wait for the next round.
constexpr base::Milliseconds kBaseUpdateInterval(10);
constexpr int64_t kMaxPeersForUpdates = 64;
// An update is delayed by this time to include changes that follow at once,
// such as the run of a prompt after its prefill.
constexpr base::Milliseconds kUpdateDelay(1);
// A peer counts as live while its last message is younger than this.
constexpr std::chrono::seconds kLivenessTimeout(3);
// Changed usage counts are sent to the gateway that reports them at this
// interval, or each round if that is longer.
constexpr base::Milliseconds kUsageChangeInterval(400);
// All usage counts are sent to all gateways once in this many rounds.
constexpr int64_t kRoundsPerUsageMessage = 10;
// A gateway that has just started receives the usage counts of all gateways,
// including stopped ones, and the requests that crashed backend servers from
// this many gateways. The new gateway may be one of them itself.
constexpr size_t kBootstrapPeers = 3;
// While no load changes, a message is sent only once in this many rounds, so
// that peers know that this gateway is live and how fresh its configuration is.
constexpr int64_t kRoundsPerIdleMessage = 4;
// Further prefixes are dropped.
constexpr size_t kMaxPrefixesPerMessage = 64;
// The crash evidence of all gateways and ages is sent once in this many rounds.
constexpr int64_t kRoundsPerOldCrashes = 40;
// Backend servers that said within this time that they leave are named in each
// message: a gateway that starts meanwhile or misses a few messages learns it.
constexpr std::chrono::seconds kDepartureAge(10);
constexpr size_t kMaxDeparturesPerMessage = 32;
// The minimum interval between two updates about urgent news, with any number
// of peers.
constexpr base::Milliseconds kUrgentNewsInterval(100);
constexpr int kOk = 200;

int64_t ToTimestampMs(base::Instant instant) {
  return base::ToMilliseconds(instant.time_since_epoch());
}

int64_t UnixMs() {
  return std::chrono::duration_cast<base::Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns whether `self` sends the counts of all gateways to the gateway with
// this boot id. Processes with the same live hosts choose the same senders.
bool IsBootstrapPeer(const base::HostId& self,
                     const std::string& boot,
                     const std::vector<base::HostId>& live) {
  const auto ranked = core::RankHolders("counts/" + boot, live);
  const auto end = ranked.begin() + static_cast<int64_t>(std::min(
                                        ranked.size(), kBootstrapPeers));
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
      crash_gossip(context),
      rate_limit_gossip(context),
      origin_gossip(context),
      speed_gossip(context),
      usage_gossip(context),
      registry_relay(context, feed),
      plan_relay(context, feed),
      account_rate_gossip(context,
                          [this](const base::HostId& host,
                                 const wire::gen::GossipAccountRates& rates) {
                            this->SendAccountRates(host, rates);
                          }),
      round_timer(context.loop),
      update_timer(context.loop) {}

void PeerGossip::Listen() {
  const base::Address& address = this->context.state.settings.listen.peers;
  auto socket = std::make_unique<net::DatagramSocket>(
      this->context.loop, address,
      [this](const std::string& data, const base::Address& sender) {
        this->OnDatagram(data, sender);
      });
  this->server = std::make_unique<net::HttpServer>(
      this->context.loop, address,
      [this](const std::shared_ptr<net::Exchange>& exchange) {
        this->OnCall(exchange);
      });
  this->server->SetBudget(this->context.buffers);
  this->datagrams = std::move(socket);
}

void PeerGossip::Start() {
  this->context.on_load_changed = [this] { this->OnLoadChanged(); };
  this->context.on_urgent_news = [this] {
    this->ScheduleUpdate(kUrgentNewsInterval);
  };
  this->context.origin_lookup.SetAsk(
      [this](const OriginQuestion& question) { this->AskForOrigin(question); });
  this->account_rate_gossip.Start();
  this->registry.Start();
  this->RunRound();
}

void PeerGossip::LogSlackDivisor() {
  const auto divisor =
      this->context.state.retry_members.SlackDivisor(base::Now());
  const auto before = std::exchange(this->logged_slack_divisor, divisor);
  if (divisor != before) {
    this->context.journal.Write(base::LogLevel::kInfo, "gateways_counted",
                                {{"gateways", divisor.value_or(0)},
                                 {"before", before.value_or(0)},
                                 {"heard", this->live_peers(base::Now())}});
  }
}

void PeerGossip::SetWatchWaits() {
  const GatewaySettings& settings = this->context.state.settings;
  const base::Instant now = base::Now();
  this->context.state.SetLiveHosts(this->LiveHosts(now), now);
  this->feed.SetWatchWaits(core::PlanWatches(settings.host,
                                             this->context.state.live_hosts,
                                             settings.store.watch_wait));
}

base::Duration PeerGossip::RoundInterval() const {
  const auto count = static_cast<int64_t>(this->peers.size());
  const base::Duration interval =
      kBaseGossipInterval * std::max<int64_t>(count, kPeersAtBaseInterval) /
      kPeersAtBaseInterval;
  return std::min<base::Duration>(interval, kMaxGossipInterval);
}

base::Duration PeerGossip::UpdateInterval() const {
  const auto count = static_cast<int64_t>(this->peers.size());
  return count > kMaxPeersForUpdates
             ? this->RoundInterval()
             : kBaseUpdateInterval * std::max(count, kPeersAtBaseInterval) /
                   kPeersAtBaseInterval;
}

void PeerGossip::OnLoadChanged() {
  if (this->update_scheduled ||
      !core::AffectsPlacement(this->sent_loads,
                              this->context.state.load.own())) {
    return;
  }
  this->ScheduleUpdate(this->UpdateInterval());
}

void PeerGossip::ScheduleUpdate(base::Duration interval) {
  this->update_scheduled = true;
  const base::Instant now = base::Now();
  const base::Instant send_at =
      std::max(now + kUpdateDelay, this->loads_sent_at + interval);
  this->update_timer.Start(send_at - now, [this] { this->SendLoads(); });
}

Gossip PeerGossip::BaseMessage() const {
  const GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  Gossip gossip;
  gossip.host = state.settings.host.value;
  gossip.boot = state.boot.value;
  gossip.stamp = ToTimestampMs(now);
  gossip.unix_ms = UnixMs();
  this->plan_relay.AddTo(gossip);
  gossip.leaving = this->leaving;
  gossip.registry_revision = this->feed.registry_revision().revision;
  this->registry_relay.AddTo(gossip);
  if (state.reports_usage) {
    gossip.__set_reports_usage(true);
  }
  return gossip;
}

Gossip PeerGossip::LoadMessage() const {
  Gossip gossip = this->BaseMessage();
  for (const auto& [id, load] : this->context.state.load.own()) {
    wire::gen::GossipLoad encoded;
    encoded.backend_server = id.value;
    encoded.requests = static_cast<int32_t>(load.requests);
    encoded.unread_tokens = static_cast<int32_t>(load.unread_tokens);
    encoded.kv_tokens = static_cast<int32_t>(load.kv_tokens);
    gossip.loads.push_back(std::move(encoded));
  }
  const base::Instant now = base::Now();
  for (const auto& [id, until] : this->context.state.changing_roles) {
    if (until > now) {
      wire::gen::GossipAbsence encoded;
      encoded.backend_server = id.value;
      encoded.left_ms = static_cast<int32_t>(base::ToMilliseconds(until - now));
      gossip.absences.push_back(std::move(encoded));
    }
  }
  gossip.__isset.absences = !gossip.absences.empty();
  this->AddDepartures(gossip);
  return gossip;
}

void PeerGossip::AddDepartures(Gossip& gossip) const {
  const auto recent =
      this->context.state.directory.LeavingSince(base::Now() - kDepartureAge);
  for (const core::LeavingBackend& left : recent) {
    if (gossip.departures.size() >= kMaxDeparturesPerMessage) {
      break;
    }
    wire::gen::GossipDeparture encoded;
    encoded.backend_server = left.id.value;
    encoded.started_ms = left.started_ms;
    gossip.departures.push_back(std::move(encoded));
  }
  gossip.__isset.departures = !gossip.departures.empty();
}

void PeerGossip::RunRound() {
  this->round_timer.Start(this->RoundInterval(), [this] { this->RunRound(); });
  this->LogSlackDivisor();
  this->feed.RenewFreshness(base::Now());
  std::erase_if(
      this->context.state.changing_roles,
      [now = base::Now()](const auto& change) { return change.second <= now; });
  ++this->rounds;
  if (this->rounds % kRoundsPerIdleMessage == 0) {
    this->SetWatchWaits();
  }
  const bool has_changes = this->sent_loads != this->context.state.load.own() ||
                           !this->context.sent_prefixes.empty() ||
                           !this->context.state.changing_roles.empty();
  if (has_changes || this->rounds % kRoundsPerIdleMessage == 0) {
    this->SendLoads();
  }
  if (base::Now() - this->usage_sent_at >= kUsageChangeInterval) {
    this->SendUsageChanges();
  }
  this->SendUsage();
}

void PeerGossip::SendUsage() {
  const bool is_for_all = this->rounds % kRoundsPerUsageMessage == 0;
  const auto fresh = std::exchange(this->new_peers, {});
  if (!is_for_all && fresh.empty()) {
    return;
  }
  for (Gossip message :
       this->usage_gossip.Messages(false, this->BaseMessage())) {
    for (const auto& [host, peer] : this->peers) {
      if (is_for_all || fresh.contains(host)) {
        SetEcho(message, peer.boot, peer.stamp);
        this->datagrams->Send(PrintGossip(message), peer.address);
      }
    }
  }
}

void PeerGossip::SendLoads() {
  this->update_timer.Cancel();
  this->update_scheduled = false;
  this->loads_sent_at = base::Now();
  this->sent_loads = this->context.state.load.own();
  Gossip gossip = this->LoadMessage();
  std::vector<SentPrefix> prefixes =
      std::exchange(this->context.sent_prefixes, {});
  prefixes.resize(std::min(prefixes.size(), kMaxPrefixesPerMessage));
  for (const SentPrefix& sent : prefixes) {
    wire::gen::GossipPrefix encoded;
    encoded.backend_server = sent.backend_server.value;
    encoded.was_read = sent.prefilled;
    for (const core::PrefixKey& key : sent.keys) {
      encoded.hashes.push_back(static_cast<int64_t>(key.hash));
      encoded.tokens.push_back(static_cast<int32_t>(key.tokens));
    }
    gossip.prefixes.push_back(std::move(encoded));
  }
  this->crash_gossip.AddTo(gossip, this->rounds % kRoundsPerOldCrashes == 0);
  this->rate_limit_gossip.AddTo(gossip);
  this->speed_gossip.AddTo(gossip, this->peers.size());
  this->SendWithOrigins(gossip);
}

void PeerGossip::SendWithOrigins(const Gossip& gossip) {
  auto origins = this->origin_gossip.TakeUntold();
  Gossip addressed = gossip;
  for (const auto& [host, peer] : this->peers) {
    SetEcho(addressed, peer.boot, peer.stamp);
    addressed.stream_origins = std::move(origins[host]);
    addressed.__isset.stream_origins = !addressed.stream_origins.empty();
    this->datagrams->Send(PrintGossip(addressed), peer.address);
  }
}

void PeerGossip::AskForOrigin(const OriginQuestion& question) {
  Gossip message = this->LoadMessage();
  if (question.first.has_value()) {
    message.__set_wanted_origins({question.first->value});
  } else {
    message.__set_wanted_contents({question.content});
    message.__set_question(question.number);
  }
  for (const auto& [host, peer] : this->peers) {
    if (question.all || this->origin_gossip.IsKeeper(*question.first, host)) {
      SetEcho(message, peer.boot, peer.stamp);
      this->datagrams->Send(PrintGossip(message), peer.address);
    }
  }
}

void PeerGossip::AnswerOrigins(const Gossip& question,
                               const base::Address& sender) {
  if (question.wanted_origins.empty() && question.wanted_contents.empty()) {
    return;
  }
  if (const auto answer =
          this->origin_gossip.Answer(question, this->LoadMessage())) {
    this->datagrams->Send(PrintGossip(*answer), sender);
  }
}

void PeerGossip::SendUsageChanges() {
  this->usage_sent_at = base::Now();
  const auto messages = this->usage_gossip.TakeChanges(this->BaseMessage());
  if (messages.empty()) {
    return;
  }
  const auto candidates =
      core::RankHolders(kDutyName, this->context.state.live_hosts);
  for (const auto& [host, peer] : this->peers) {
    const auto rank = std::find(candidates.begin(), candidates.end(), host) -
                      candidates.begin();
    if (!peer.reports_usage && rank >= core::kMaxDutyCandidates) {
      continue;
    }
    for (Gossip message : messages) {
      SetEcho(message, peer.boot, peer.stamp);
      this->datagrams->Send(PrintGossip(message), peer.address);
    }
  }
}

void PeerGossip::Send(const Gossip& gossip) {
  Gossip addressed = gossip;
  for (const auto& [host, peer] : this->peers) {
    SetEcho(addressed, peer.boot, peer.stamp);
    this->datagrams->Send(PrintGossip(addressed), peer.address);
  }
}

void PeerGossip::SendAccountRates(const base::HostId& host,
                                  const wire::gen::GossipAccountRates& rates) {
  const auto found = this->peers.find(host);
  if (found == this->peers.end()) {
    return;
  }
  Gossip message = this->BaseMessage();
  SetEcho(message, found->second.boot, found->second.stamp);
  message.__set_account_rates(rates);
  message.account_rates.__set_receiver_boot(found->second.boot);
  this->datagrams->Send(PrintGossip(message), found->second.address);
}

void PeerGossip::SendBootstrap(const base::Address& address) {
  Gossip base = this->LoadMessage();
  std::vector<Gossip> messages =
      this->usage_gossip.Messages(true, this->BaseMessage());
  for (const auto& part : {this->crash_gossip.MessagesForNewPeer(base),
                           this->origin_gossip.MessagesForNewPeer(base)}) {
    messages.insert(messages.end(), part.begin(), part.end());
  }
  this->speed_gossip.AddForNewPeer(base);
  messages.insert(messages.begin(), base);
  for (const Gossip& message : messages) {
    this->datagrams->Send(PrintGossip(message), address);
  }
}

void PeerGossip::OnDatagram(const std::string& data,
                            const base::Address& sender) {
  const auto gossip = ParseGossip(data);
  if (!gossip.has_value() ||
      gossip->host == this->context.state.settings.host.value) {
    return;
  }
  const base::Instant now = base::Now();
  GatewayState& state = this->context.state;
  const base::HostId host{gossip->host};
  state.retry_members.NoteSeen(host);
  Peer& peer = this->peers[host];
  const bool was_not_live = now - peer.last_received > kLivenessTimeout;
  if (gossip->leaving) {
    this->peers.erase(host);
    state.peers_heard.erase(host);
    state.load.NotePeer(host, {}, now);
    return;
  }
  if (peer.boot != gossip->boot) {
    // The peer has just started and lacks the counts of all gateways.
    this->new_peers.insert(host);
    if (!peer.boot.empty()) {
      state.NoteGatewayLost(now);
    }
    peer.boot = gossip->boot;
    if (IsBootstrapPeer(state.settings.host, gossip->boot,
                        this->LiveHosts(now))) {
      this->SendBootstrap(sender);
    }
  }
  if (was_not_live) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "peer_heard",
        {{"peer", gossip->host}, {"boot", gossip->boot}});
  }
  peer.address = sender;
  peer.last_received = now;
  state.peers_heard[host] = now;
  peer.reports_usage = gossip->reports_usage;
  peer.stamp = std::max(gossip->stamp, int64_t{0});
  state.wall_clock.RecordPeerTime(host, base::Milliseconds(gossip->unix_ms),
                                  now);
  if (gossip->windows.empty() && !gossip->__isset.account_rates) {
    this->ApplyLoads(*gossip, now);
  }
  this->AnswerOrigins(*gossip, sender);
  this->usage_gossip.Apply(*gossip);
  this->account_rate_gossip.Apply(*gossip, now);
  this->plan_relay.Apply(*gossip, sender);
  this->registry_relay.Apply(*gossip, sender);
}

void PeerGossip::ApplyLoads(const Gossip& gossip, base::Instant now) {
  GatewayState& state = this->context.state;
  core::FleetLoad::Loads loads;
  for (const wire::gen::GossipLoad& received : gossip.loads) {
    loads[{received.backend_server}] = {
        received.requests, received.unread_tokens, received.kv_tokens};
  }
  state.load.NotePeer({gossip.host}, loads, now);
  for (const wire::gen::GossipPrefix& received : gossip.prefixes) {
    std::vector<core::PrefixKey> keys;
    for (size_t i = 0;
         i < std::min(received.hashes.size(), received.tokens.size()); ++i) {
      keys.push_back(
          {static_cast<uint64_t>(received.hashes[i]), received.tokens[i]});
    }
    if (received.was_read) {
      state.prefix_caches.NotePrefilled({received.backend_server}, keys);
    } else {
      state.prefix_caches.NoteSent({received.backend_server}, keys);
    }
  }
  for (const wire::gen::GossipAbsence& received : gossip.absences) {
    state.health.NoteRoleChangeStarted(
        {received.backend_server}, now + base::Milliseconds(received.left_ms));
  }
  this->ApplyDepartures(gossip, now);
  this->rate_limit_gossip.Apply(gossip, now);
  this->speed_gossip.Apply(gossip);
  this->origin_gossip.Apply(gossip, now);
  this->crash_gossip.Apply(gossip, now);
}

void PeerGossip::ApplyDepartures(const Gossip& gossip, base::Instant now) {
  for (const wire::gen::GossipDeparture& received : gossip.departures) {
    const bool is_news = this->context.state.directory.NoteLeaving(
        {received.backend_server}, received.started_ms, now);
    if (is_news) {
      this->context.journal.Write(
          base::LogLevel::kInfo, "backend_leaves",
          {{"backend", received.backend_server}, {"source", gossip.host}});
    }
  }
}

void PeerGossip::OnCall(const std::shared_ptr<net::Exchange>& exchange) {
  if (const auto changes =
          this->registry_relay.Answer(exchange->request().target)) {
    exchange->Respond(
        {{kOk, {{"Content-Type", "application/json"}}}, *changes});
    return;
  }
  if (const auto plan = this->plan_relay.Answer(exchange->request())) {
    exchange->Respond(*plan);
    return;
  }
  exchange->Respond({{404, {}}, ""});
}

void PeerGossip::Leave() {
  this->account_rate_gossip.Leave();
  this->leaving = true;
  this->Send(this->BaseMessage());
}

std::vector<base::HostId> PeerGossip::LiveHosts(base::Instant now) const {
  std::vector<base::HostId> hosts = {this->context.state.settings.host};
  for (const auto& [host, peer] : this->peers) {
    if (now - peer.last_received < kLivenessTimeout) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

int64_t PeerGossip::live_peers(base::Instant now) const {
  return static_cast<int64_t>(this->LiveHosts(now).size()) - 1;
}

}  // namespace carawayvalve::gateway
