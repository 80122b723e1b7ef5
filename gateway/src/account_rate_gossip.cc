#include "account_rate_gossip.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace carawayvalve::gateway {

using wire::gen::Gossip;
using wire::gen::GossipAccountRates;

namespace {

constexpr base::Milliseconds kTickInterval(100);
constexpr std::chrono::seconds kLogInterval(5);
constexpr double kThousandths = 1000;
// A peer that hasn't been heard for this time, longer with more peers, collects
// no credit.
constexpr base::Milliseconds kMinSilence(1500);
constexpr base::Milliseconds kSilencePerPeer(20);

wire::gen::GossipCreditGrant ToGossip(const core::CreditGrant& grant,
                                      base::Instant now) {
  wire::gen::GossipCreditGrant encoded;
  encoded.account = grant.account.value;
  encoded.id = grant.id;
  if (grant.question != 0) {
    encoded.__set_question(grant.question);
    encoded.__set_balance(std::llround(grant.balance * kThousandths));
  }
  for (const core::CreditPortion& portion : grant.credit) {
    wire::gen::GossipCreditPortion part;
    // Rounded so that the credit never gets younger or larger on the way.
    part.age_ms = base::ToMilliseconds(now - portion.earned) + 1;
    part.amount =
        static_cast<int64_t>(std::floor(portion.amount * kThousandths));
    encoded.credit.push_back(part);
  }
  return encoded;
}

// The age of the credit counts from when the giver's newest message from this
// gateway was sent: the time on the way isn't known.
core::CreditGrant FromGossip(const wire::gen::GossipCreditGrant& received,
                             base::Instant echoed) {
  core::CreditGrant grant{{received.account},
                          received.id,
                          received.question,
                          {},
                          static_cast<double>(received.balance) / kThousandths};
  for (const wire::gen::GossipCreditPortion& part : received.credit) {
    grant.credit.push_back(
        {echoed - base::Milliseconds(std::max<int64_t>(part.age_ms, 0)),
         static_cast<double>(std::max<int64_t>(part.amount, 0)) /
             kThousandths});
  }
  return grant;
}

core::CreditQuestion FromGossip(
    const wire::gen::GossipCreditQuestion& received) {
  return {{received.account},
          received.id,
          static_cast<double>(received.amount) / kThousandths,
          received.takes_part};
}

}  // namespace

AccountRateGossip::AccountRateGossip(Context& context, SendTo send_to)
    : context(context), send_to(std::move(send_to)), timer(context.loop) {}

void AccountRateGossip::Start() {
  this->context.account_limits.SetAsk(
      [this](const core::AskPeers& step) { this->Ask(step); });
  this->Tick();
}

void AccountRateGossip::Tick() {
  this->timer.Start(kTickInterval, [this] { this->Tick(); });
  core::AccountRateShares& rates = this->context.state.account_rates;
  if (rates.empty()) {
    return;
  }
  const base::Instant now = base::Now();
  this->NoteHosts(now);
  this->SendGrants(rates.TakeForCollectors(now), now);
  if (now - this->logged_at >= kLogInterval) {
    this->logged_at = now;
    this->LogStatuses(now);
  }
}

void AccountRateGossip::NoteHosts(base::Instant now) {
  GatewayState& state = this->context.state;
  const base::Duration silence = std::max<base::Duration>(
      kMinSilence,
      kSilencePerPeer * static_cast<int64_t>(state.peers_heard.size()));
  std::vector<base::HostId> live = {state.settings.host};
  for (const auto& [host, heard] : state.peers_heard) {
    if (now - heard < silence) {
      live.push_back(host);
    }
  }
  const auto divisor = state.retry_members.RateDivisor(now);
  if (!divisor.has_value()) {
    GossipAccountRates rates;
    rates.__set_asks_to_be_counted(true);
    for (const base::HostId& host : live) {
      if (!state.retry_members.IsCountedBy(host)) {
        this->send_to(host, rates);
      }
    }
  }
  state.account_rates.SetHosts(state.settings.host, std::move(live));
  state.account_rates.SetDivisor(divisor, now);
}

void AccountRateGossip::Ask(const core::AskPeers& step) {
  wire::gen::GossipCreditQuestion question;
  question.account = step.question.account.value;
  question.id = step.question.id;
  question.amount =
      static_cast<int64_t>(std::ceil(step.question.amount * kThousandths));
  question.takes_part = step.question.takes_part;
  GossipAccountRates rates;
  rates.__set_questions({question});
  for (const base::HostId& peer : step.peers) {
    this->send_to(peer, rates);
  }
}

void AccountRateGossip::SendGrants(
    const std::vector<std::pair<base::HostId, core::CreditGrant>>& grants,
    base::Instant now) {
  std::map<base::HostId, GossipAccountRates> messages;
  for (const auto& [host, grant] : grants) {
    messages[host].grants.push_back(ToGossip(grant, now));
  }
  for (auto& [host, rates] : messages) {
    rates.__isset.grants = true;
    this->send_to(host, rates);
  }
}

void AccountRateGossip::Apply(const Gossip& gossip, base::Instant now) {
  if (!gossip.__isset.account_rates) {
    return;
  }
  GatewayState& state = this->context.state;
  const GossipAccountRates& received = gossip.account_rates;
  const base::HostId peer{gossip.host};
  const bool is_for_this_run = received.receiver_boot == state.boot.value;
  if (received.counts_receiver && is_for_this_run) {
    state.retry_members.NoteCountedBy(peer);
  }
  GossipAccountRates answer;
  if (received.asks_to_be_counted) {
    // The peer was counted when the message came.
    answer.__set_counts_receiver(true);
  }
  for (const wire::gen::GossipCreditQuestion& question : received.questions) {
    answer.grants.push_back(
        ToGossip(state.account_rates.Answer(FromGossip(question), now), now));
  }
  answer.__isset.grants = !answer.grants.empty();
  if (answer.counts_receiver || answer.__isset.grants) {
    this->send_to(peer, answer);
  }
  // The echo is a reading of this run's clock.
  const bool has_echo = gossip.echo > 0 && is_for_this_run;
  const base::Instant echoed =
      std::min(base::Instant(base::Milliseconds(gossip.echo)), now);
  for (const wire::gen::GossipCreditGrant& encoded : received.grants) {
    const core::CreditGrant grant = FromGossip(encoded, echoed);
    if (has_echo && state.account_rates.Apply(gossip.boot, grant, now)) {
      this->context.account_limits.OnGrant(grant);
    }
  }
}

void AccountRateGossip::Leave() {
  const base::Instant now = base::Now();
  GatewayState& state = this->context.state;
  state.account_rates.SetDivisor(std::nullopt, now);
  this->SendGrants(state.account_rates.TakeAll(now), now);
}

void AccountRateGossip::LogStatuses(base::Instant now) {
  GatewayState& state = this->context.state;
  const auto statuses = state.account_rates.Statuses(now);
  for (const auto& [account, status] : statuses) {
    const core::AccountRateStatus& before = this->logged[account];
    if (before.spent == status.spent && before.refused == status.refused) {
      continue;
    }
    this->context.journal.Write(
        base::LogLevel::kInfo, "account_rate",
        {{"account", account.value},
         {"spent", status.spent},
         {"refused", status.refused},
         {"share_per_second", status.share_per_second},
         {"balance", status.balance},
         {"grant_age_ms", status.grant_age.has_value()
                              ? base::ToMilliseconds(*status.grant_age)
                              : -1},
         {"gateways", state.retry_members.RateDivisor(now).value_or(0)}});
  }
  this->logged = statuses;
}

}  // namespace carawayvalve::gateway
