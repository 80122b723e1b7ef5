#include "account_rates.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "credit_format.h"

namespace carawayvalve::entry {

namespace {

constexpr base::Milliseconds kTickInterval{100};
constexpr base::Milliseconds kLogInterval{5000};
constexpr base::Milliseconds kRetryAfterStop{1000};
// A process's grants come in two ways, each in order: as answers and in calls.
constexpr char kAnswered[] = "/answered";
constexpr char kCalled[] = "/called";

std::string Rounded(double value) {
  return std::to_string(std::llround(value));
}

std::string AgeText(const core::AccountRateStatus& status) {
  return status.grant_age.has_value()
             ? std::to_string(base::ToMilliseconds(*status.grant_age)) + " ms"
             : "none";
}

}  // namespace

AccountCharge::~AccountCharge() {
  this->Settle(false);
}

void AccountCharge::Settle(bool may_have_run) {
  const core::Credit taken = std::exchange(this->credit, {});
  if (!may_have_run && !taken.empty()) {
    this->rates.Refund(this->account, taken);
  }
}

AccountRates::AccountRates(const base::HostId& self,
                           const base::BootId& boot,
                           const core::RateLimitMembers::Settings& settings)
    : self(self),
      boot(boot),
      log("rates"),
      members(settings, self),
      next_tick(base::Now()),
      next_log(base::Now() + kLogInterval),
      links(self,
            boot,
            {.on_counted =
                 [this](const base::HostId& peer) {
                   const std::lock_guard lock(this->mutex);
                   this->members.NoteCountedBy(peer);
                 },
             .on_grants =
                 [this](const std::string& giver,
                        const std::vector<core::CreditGrant>& grants) {
                   this->OnGrants(giver + kAnswered, grants);
                 }}) {
  this->shares.SetHosts(self, {self});
  this->timer = std::thread([this] { this->Run(); });
}

AccountRates::~AccountRates() {
  this->Stop();
}

void AccountRates::Stop() {
  std::vector<Decided> decided;
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
    for (Waiting& entry : this->waiting) {
      decided.push_back({std::move(entry.on_decided),
                         core::AccountExceeded{kRetryAfterStop}});
    }
    this->waiting.clear();
  }
  for (const Decided& entry : decided) {
    entry.on_decided(entry.decision);
  }
  this->links.Stop();
  if (this->timer.joinable()) {
    this->timer.join();
  }
}

void AccountRates::SetAccounts(
    const std::vector<config::ClientAccount>& accounts) {
  const std::lock_guard lock(this->mutex);
  this->limits.clear();
  for (const config::ClientAccount& account : accounts) {
    if (account.rate_limit.has_value()) {
      this->limits.emplace(account.name, *account.rate_limit);
    }
  }
  this->shares.SetLimits(this->limits, {}, base::Now());
}

void AccountRates::SetHosts(const std::vector<systems::Host>& hosts) {
  core::ListedProcesses listed;
  std::map<base::HostId, std::string> addresses;
  for (const systems::Host& host : hosts) {
    if (host.role != systems::HostRole::kEntry) {
      continue;
    }
    listed.named.insert(host.name);
    if (!host.leaving) {
      listed.staying.insert(host.name);
    }
    if (host.name != this->self) {
      addresses[host.name] = host.address;
    }
  }
  this->links.SetPeers(addresses);
  const std::lock_guard lock(this->mutex);
  this->members.NoteListed(listed, base::Now());
  this->NoteHosts(base::Now());
}

double AccountRates::AmountOf(const ChargedRequest& request) const {
  const config::AccountRateLimit& limit =
      this->limits.at(request.client_account);
  return limit.unit == config::RateUnit::kRequests
             ? 1
             : static_cast<double>(
                   request.tokens.value_or(limit.default_tokens));
}

void AccountRates::Charge(const ChargedRequest& request,
                          const OnDecided& on_decided) {
  std::vector<Decided> decided;
  {
    const std::lock_guard lock(this->mutex);
    if (!this->shares.HasLimit(request.client_account)) {
      decided.push_back({on_decided, std::shared_ptr<AccountCharge>()});
    } else if (this->stopping) {
      decided.push_back({on_decided, core::AccountExceeded{kRetryAfterStop}});
    } else {
      const auto place = this->waiting.insert(
          this->waiting.end(), {request,
                                core::AccountCreditRequest(
                                    this->shares, request.client_account,
                                    this->AmountOf(request), request.objective),
                                on_decided,
                                {}});
      this->Take(place, place->credit.Start(base::Now()), decided);
    }
  }
  for (const Decided& entry : decided) {
    entry.on_decided(entry.decision);
  }
}

void AccountRates::Take(Place place,
                        const core::CreditStep& step,
                        std::vector<Decided>& decided) {
  if (std::holds_alternative<core::KeepWaiting>(step)) {
    return;
  }
  if (const auto* question = std::get_if<core::AskPeers>(&step)) {
    place->timeout = base::Now() + place->credit.Timeout();
    for (const base::HostId& peer : question->peers) {
      this->links.Ask(peer, question->question);
    }
    this->changed.notify_all();
    return;
  }
  decided.push_back(
      {std::move(place->on_decided), this->Decide(place->request, step)});
  this->waiting.erase(place);
}

AccountRates::Decision AccountRates::Decide(const ChargedRequest& request,
                                            const core::CreditStep& step) {
  if (const auto* admitted = std::get_if<core::AccountAdmitted>(&step)) {
    return std::make_shared<AccountCharge>(*this, request.client_account,
                                           admitted->charge);
  }
  const base::Instant now = base::Now();
  if (const auto* exceeded = std::get_if<core::AccountExceeded>(&step)) {
    this->LogRefusal(
        request,
        "is beyond its rate limit for " +
            std::to_string(base::ToMilliseconds(exceeded->retry_after)) + " ms",
        now);
    return *exceeded;
  }
  this->LogRefusal(request, "sent more than its rate limit ever allows at once",
                   now);
  return core::AccountRequestTooLarge{};
}

void AccountRates::LogRefusal(const ChargedRequest& request,
                              const std::string& what,
                              base::Instant now) {
  const auto statuses = this->shares.Statuses(now);
  const auto status = statuses.find(request.client_account);
  if (status == statuses.end()) {
    return;
  }
  this->log.Info("Client account '" + request.client_account.value + "' " +
                     what + ": the request counts " +
                     Rounded(this->AmountOf(request)) + ", balance " +
                     Rounded(status->second.balance) + ", share per second " +
                     std::to_string(status->second.share_per_second) +
                     ", processes " +
                     std::to_string(this->members.Divisor(now).value_or(0)) +
                     ", age of the last grant " + AgeText(status->second) + ".",
                 {.request = request.id.value});
}

void AccountRates::ApplyGrants(const std::string& giver,
                               const std::vector<core::CreditGrant>& grants,
                               std::vector<Decided>& decided) {
  const base::Instant now = base::Now();
  for (const core::CreditGrant& grant : grants) {
    if (!this->shares.Apply(giver, grant, now)) {
      continue;
    }
    for (auto place = this->waiting.begin(); place != this->waiting.end();) {
      const auto current = place++;
      this->Take(current, current->credit.OnGrant(grant, now), decided);
    }
  }
}

void AccountRates::OnGrants(const std::string& giver,
                            const std::vector<core::CreditGrant>& grants) {
  std::vector<Decided> decided;
  {
    const std::lock_guard lock(this->mutex);
    this->ApplyGrants(giver, grants, decided);
  }
  for (const Decided& entry : decided) {
    entry.on_decided(entry.decision);
  }
}

void AccountRates::Answer(wire::gen::CreditAnswer& answer,
                          const wire::gen::CreditMessage& message) {
  std::vector<Decided> decided;
  {
    const std::lock_guard lock(this->mutex);
    const base::Instant now = base::Now();
    this->members.NoteSeen({message.host}, now);
    this->NoteHosts(now);
    if (message.receiver_boot == this->boot.value) {
      const base::Instant reference =
          std::min(now, FromClockUs(message.receiver_clock_us));
      std::vector<core::CreditGrant> grants;
      for (const wire::gen::CreditGrant& grant : message.grants) {
        grants.push_back(FromWire(grant, reference));
      }
      this->ApplyGrants(message.boot + kCalled, grants, decided);
    }
    for (const wire::gen::CreditQuestion& question : message.questions) {
      answer.grants.push_back(
          ToWire(this->shares.Answer(FromWire(question), now), now));
    }
    answer.boot = this->boot.value;
    answer.clock_us = ToClockUs(now);
  }
  for (const Decided& entry : decided) {
    entry.on_decided(entry.decision);
  }
}

void AccountRates::Refund(const base::ClientAccountId& account,
                          const core::Credit& credit) {
  const std::lock_guard lock(this->mutex);
  this->shares.Refund(account, credit, base::Now());
}

void AccountRates::Leave() {
  const std::lock_guard lock(this->mutex);
  const base::Instant now = base::Now();
  this->leaving = true;
  this->NoteHosts(now);
  this->Give(this->shares.TakeAll(now));
}

void AccountRates::NoteHosts(base::Instant now) {
  const std::set<base::HostId> silent = this->links.Silent();
  std::vector<base::HostId> live = {this->self};
  for (const base::HostId& host : this->members.staying()) {
    if (!silent.contains(host)) {
      live.push_back(host);
    }
  }
  this->shares.SetHosts(this->self, std::move(live));
  this->shares.SetDivisor(
      this->leaving ? std::nullopt : this->members.Divisor(now), now);
}

void AccountRates::Give(
    const std::vector<std::pair<base::HostId, core::CreditGrant>>& grants) {
  for (const auto& [host, grant] : grants) {
    this->links.Give(host, grant);
  }
}

void AccountRates::Tick(base::Instant now) {
  if (this->shares.empty()) {
    return;
  }
  for (const base::HostId& host : this->members.Uncounted()) {
    this->links.Probe(host);
  }
  for (const base::HostId& host : this->links.Silent()) {
    this->links.Probe(host);
  }
  this->NoteHosts(now);
  this->Give(this->shares.TakeForCollectors(now));
  if (now >= this->next_log) {
    this->next_log = now + kLogInterval;
    this->LogStatuses(now);
  }
}

void AccountRates::LogStatuses(base::Instant now) {
  auto statuses = this->shares.Statuses(now);
  for (const auto& [account, status] : statuses) {
    const core::AccountRateStatus& before = this->logged[account];
    if (before.spent == status.spent && before.refused == status.refused) {
      continue;
    }
    this->log.Info("Client account '" + account.value + "' has spent " +
                   std::to_string(status.spent) + " of its rate limit here, " +
                   std::to_string(status.refused) +
                   " requests were refused; balance " +
                   Rounded(status.balance) + ", share per second " +
                   std::to_string(status.share_per_second) + ", processes " +
                   std::to_string(this->members.Divisor(now).value_or(0)) +
                   ", age of the last grant " + AgeText(status) + ".");
  }
  this->logged = std::move(statuses);
}

base::Instant AccountRates::NextTimeout() const {
  base::Instant next = this->next_tick;
  for (const Waiting& entry : this->waiting) {
    next = std::min(next, entry.timeout);
  }
  return next;
}

void AccountRates::CheckTimeouts(base::Instant now,
                                 std::vector<Decided>& decided) {
  for (auto place = this->waiting.begin(); place != this->waiting.end();) {
    const auto current = place++;
    if (current->timeout <= now) {
      this->Take(current, current->credit.OnTimeout(now), decided);
    }
  }
}

void AccountRates::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const base::Instant now = base::Now();
    std::vector<Decided> decided;
    this->CheckTimeouts(now, decided);
    if (now >= this->next_tick) {
      this->next_tick = now + kTickInterval;
      this->Tick(now);
    }
    if (!decided.empty()) {
      lock.unlock();
      for (const Decided& entry : decided) {
        entry.on_decided(entry.decision);
      }
      decided.clear();
      lock.lock();
      continue;
    }
    const base::Duration wait = this->NextTimeout() - base::Now();
    if (wait > base::Duration(0)) {
      this->changed.wait_for(lock, wait);
    }
  }
}

std::vector<AccountRateRow> AccountRates::Rows() {
  const std::lock_guard lock(this->mutex);
  std::vector<AccountRateRow> rows;
  for (const auto& [account, status] : this->shares.Statuses(base::Now())) {
    rows.push_back({account, status});
  }
  return rows;
}

std::optional<int64_t> AccountRates::Divisor() const {
  const std::lock_guard lock(this->mutex);
  return this->leaving ? std::nullopt : this->members.Divisor(base::Now());
}

}  // namespace carawayvalve::entry
