#include "explanation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/core/deadline_fit.h"

namespace carawayvalve::gateway {

using nlohmann::ordered_json;

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

double ToMs(base::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

ordered_json Refused(int status, const std::string& reason) {
  return {{"outcome", "refused"}, {"status", status}, {"reason", reason}};
}

// Prints what the rate limit of the request's account allows.
struct CreditPrinter {
  ordered_json operator()(const core::AccountAdmitted& /*step*/) const {
    return {{"allows", true}};
  }
  ordered_json operator()(const core::AskPeers& step) const {
    ordered_json peers = ordered_json::array();
    for (const base::HostId& peer : step.peers) {
      peers.push_back(peer.value);
    }
    return {{"asks_peers", peers}, {"missing", step.question.amount}};
  }
  ordered_json operator()(const core::KeepWaiting& /*step*/) const {
    return {{"waits", true}};
  }
  ordered_json operator()(const core::AccountExceeded& step) const {
    return {{"retry_after_ms", ToMs(step.retry_after)}};
  }
  ordered_json operator()(const core::AccountRequestTooLarge& /*step*/) const {
    return {{"too_large", true}};
  }
};

// Prints what one backend server means to the placement.
struct OutcomePrinter {
  ordered_json& printed;

  void operator()(const core::CostTerms& terms) const {
    this->printed.update(
        {{"cost_ms", ToMs(terms.cost)},
         {"expected_ms", ToMs(terms.expected)},
         {"work_ahead_ms", ToMs(terms.work_ahead)},
         {"failure_and_distance_ms", ToMs(terms.failure_and_distance)},
         {"affinity_ms", ToMs(terms.affinity)},
         {"slowness", terms.slowness},
         {"missing_tokens", terms.missing_tokens},
         {"requests_ahead", terms.requests_ahead},
         {"tokens_ahead", terms.tokens_ahead}});
    if (terms.copy_from.has_value()) {
      this->printed["copy_from"] = terms.copy_from->value;
    }
  }
  void operator()(core::Exclusion exclusion) const {
    this->printed["not_a_candidate"] = core::DescriptionOf(exclusion);
  }
};

ordered_json ToJson(const core::CandidateReport& report) {
  ordered_json printed = {{"id", report.id.value}};
  std::visit(OutcomePrinter{printed}, report.outcome);
  return printed;
}

// Decides about one request as RequestHandler does.
class Explainer {
 public:
  Explainer(const Context& context,
            const ExplainedRequest& request,
            base::Instant now)
      : context(context), request(request), now(now) {}

  ordered_json Run() {
    ordered_json refusal = this->Identify();
    if (!refusal.empty()) {
      return refusal;
    }
    const ordered_json rate = this->CheckRate();
    if (rate.contains("retry_after_ms") || rate.contains("too_large")) {
      refusal = Refused(kTooManyRequests, "beyond the account's rate limit");
      refusal["rate_limit"] = rate;
      return refusal;
    }
    ordered_json explanation = this->Place();
    if (!rate.empty()) {
      explanation["rate_limit"] = rate;
    }
    explanation["route"] = this->route->name.value;
    explanation["service"] = this->query.service.value;
    explanation["objective_ms"] = this->route->objective.count();
    explanation["time_left_ms"] = ToMs(this->time_left);
    explanation["configuration"] = this->context.state.table->version();
    for (const auto& [host, heard] : this->context.state.peers_heard) {
      explanation["peer_reports_age_ms"][host.value] = ToMs(this->now - heard);
    }
    for (const core::CandidateReport& report :
         this->context.state.placer.Report(this->query, this->now)) {
      explanation["candidates"].push_back(ToJson(report));
    }
    return explanation;
  }

 private:
  // Finds the route and the account. Returns the refusal, if any.
  ordered_json Identify() {
    const GatewayState& state = this->context.state;
    if (state.table == nullptr) {
      return Refused(kUnavailable, "no configuration is known yet");
    }
    this->route =
        state.table->FindRoute(this->request.host, this->request.path);
    if (this->route == nullptr) {
      return Refused(kNotFound, "no route leads there");
    }
    if (!this->route->open && !state.key_freshness.MayAcceptKeys(this->now)) {
      return Refused(kUnavailable, "the keys may be out of date");
    }
    if (!this->route->open && !this->FindAccount()) {
      return Refused(kUnauthorized, "no client account has that name");
    }
    this->time_left = std::min<base::Duration>(
        this->route->timeout,
        this->request.caller.timeout.value_or(this->route->timeout));
    if (!state.stop.MayTake(this->now + this->time_left, this->now)) {
      return Refused(kUnavailable, "this gateway stops before the deadline");
    }
    this->query.service =
        core::ChooseService(*this->route, this->request.caller.id.value);
    this->query.draw =
        state.draws.Next(this->query.service, state.wall_clock.At(this->now));
    this->query.objective = this->route->objective;
    if (this->request.caller.prompt.has_value()) {
      this->query.prompt = &*this->request.caller.prompt;
    }
    return {};
  }

  bool FindAccount() {
    const auto& accounts = this->context.state.table->serving_plan().accounts;
    const auto found = std::find_if(
        accounts.begin(), accounts.end(),
        [this](const config::ServingAccount& account) {
          return this->request.account == std::optional(account.name);
        });
    this->account = found == accounts.end() ? nullptr : &*found;
    return this->account != nullptr;
  }

  // Says what the rate limit of the account allows; empty without a limit.
  ordered_json CheckRate() const {
    core::AccountRateShares shares = this->context.state.account_rates;
    if (this->account == nullptr || !this->account->rate_limit.has_value() ||
        !shares.HasLimit(this->account->name)) {
      return {};
    }
    const double amount =
        RateAmountOf(this->request.caller, *this->account->rate_limit);
    core::AccountCreditRequest credit(shares, this->account->name, amount,
                                      this->route->objective);
    const core::AccountRateStatus status =
        shares.Statuses(this->now)[this->account->name];
    ordered_json printed = std::visit(CreditPrinter(), credit.Start(this->now));
    printed["amount"] = amount;
    printed["balance"] = status.balance;
    printed["share_per_second"] = status.share_per_second;
    return printed;
  }

  ordered_json Place() {
    const core::PlacementResult result =
        this->context.state.placer.Choose(this->query, this->now);
    if (const auto* none = std::get_if<core::NoBackend>(&result)) {
      return Refused(kUnavailable, none->reason);
    }
    const auto& placement = std::get<core::Placement>(result);
    ordered_json explanation = this->Admit(placement);
    explanation["backend_server"] = placement.target.id.value;
    explanation["step"] = placement.prefill_only ? "prefill" : "whole request";
    explanation["expected_ms"] = ToMs(placement.expected);
    return explanation;
  }

  // Says whether the request would be sent there now.
  ordered_json Admit(const core::Placement& placement) const {
    if (!core::FitsDeadline(placement.expected, this->time_left)) {
      return Refused(kUnavailable, "no backend server can answer in time");
    }
    const bool late = placement.expected > this->route->objective;
    if (late && this->query.prompt != nullptr &&
        !core::MayServeLate(placement.work_ahead)) {
      return {
          {"outcome", "waits"},
          {"reason", "it can't meet its objective, and the engine is busy"}};
    }
    return {{"outcome", "sent"}};
  }

  const Context& context;
  const ExplainedRequest& request;
  base::Instant now;
  const config::ServingRoute* route = nullptr;
  const config::ServingAccount* account = nullptr;
  core::PlacementQuery query;
  base::Duration time_left{};
};

}  // namespace

ordered_json Explain(const Context& context,
                     const ExplainedRequest& request,
                     base::Instant now) {
  return Explainer(context, request, now).Run();
}

}  // namespace carawayvalve::gateway
