#include "carawayvalve/core/routing.h"

#include <algorithm>
#include <limits>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using Seconds = std::chrono::duration<double>;

// Penalties that add up to the rank of a candidate, lower being better. Each
// outweighs the sum of the smaller ones.
constexpr int kExcludedRank = 4;
constexpr int kStaleRank = 2;
constexpr int kUnfitRank = 1;

base::Duration ToDuration(double seconds) {
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<base::Duration>(
      Seconds(std::min(seconds, kMaxSeconds)));
}

double ValueOrDefault(int64_t rate, int64_t fallback) {
  return static_cast<double>(std::max<int64_t>(1, rate > 0 ? rate : fallback));
}

bool Serves(const BackendView& view, const RoutingQuery& query) {
  const bool fits_answer = !query.software_version.has_value() ||
                           view.software_version == *query.software_version;
  if (view.service != query.service || !view.ready || view.leaving ||
      !fits_answer) {
    return false;
  }
  return !query.model || std::find(view.models.begin(), view.models.end(),
                                   *query.model) != view.models.end();
}

size_t RandomIndex(size_t count, Router::Generator& generator) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(generator);
}

}  // namespace

RoutingPolicy ParseRoutingPolicy(const std::string& name) {
  if (name == "expected-wait") {
    return ExpectedWaitPolicy{};
  }
  if (name == "round-robin") {
    return RoundRobinPolicy{};
  }
  if (name == "random") {
    return RandomPolicy{};
  }
  throw base::Error("read the routing policy", name,
                    "is none of expected-wait, round-robin, random");
}

Router::Router(const RoutingSettings& settings)
    : settings(settings), prefix_index(settings.prefixes) {}

void Router::Update(const BackendView& view) {
  this->known[view.backend_server] = view;
  const auto found = this->sent.find(view.backend_server);
  if (found == this->sent.end()) {
    return;
  }
  const base::Instant covered_until =
      view.reported - this->settings.max_report_lag;
  std::erase_if(found->second, [&](const SentAttempt& attempt) {
    if (attempt.at > covered_until) {
      return false;
    }
    this->sent_to.erase(attempt.attempt);
    return true;
  });
}

void Router::Remove(const base::BackendServerId& backend_server) {
  this->known.erase(backend_server);
  this->prefix_index.Forget(backend_server);
  for (const SentAttempt& attempt : this->SentTo(backend_server)) {
    this->sent_to.erase(attempt.attempt);
  }
  this->sent.erase(backend_server);
}

RoutingResult Router::Choose(const RoutingQuery& query,
                             base::Instant now,
                             Generator& generator) {
  const Candidates candidates = this->FindCandidates(query, now);
  if (candidates.empty()) {
    return NoBackendReady{"no backend server of " + query.service.value +
                          " is ready"};
  }
  return std::visit(
      [&](const auto& policy) {
        return this->Pick(policy, candidates, query, now, generator);
      },
      this->settings.policy);
}

void Router::NoteSent(const base::AttemptId& attempt,
                      const RoutingChoice& choice,
                      base::Instant now) {
  this->sent[choice.backend_server].push_back(
      {attempt, now, choice.missing_tokens});
  this->sent_to[attempt] = choice.backend_server;
}

void Router::NoteEnded(const base::AttemptId& attempt) {
  const auto found = this->sent_to.find(attempt);
  if (found == this->sent_to.end()) {
    return;
  }
  std::erase_if(this->sent[found->second], [&](const SentAttempt& present) {
    return present.attempt == attempt;
  });
  this->sent_to.erase(found);
}

RoutingChoice Router::Estimate(const base::BackendServerId& backend_server,
                               const RoutingQuery& query,
                               base::Instant now) const {
  const auto cached = this->prefix_index.CachedTokens(query.prefix_hashes, now);
  const auto found = cached.find(backend_server);
  return this->EstimateAt(this->known.at(backend_server), query,
                          found == cached.end() ? 0 : found->second, now);
}

// Returns all candidates with the best rank.
Router::Candidates Router::FindCandidates(const RoutingQuery& query,
                                          base::Instant now) const {
  Candidates best;
  int best_rank = std::numeric_limits<int>::max();
  for (const auto& [name, view] : this->known) {
    if (!Serves(view, query)) {
      continue;
    }
    const int rank = this->RankOf(view, query, now);
    if (rank < best_rank) {
      best.clear();
      best_rank = rank;
    }
    if (rank == best_rank) {
      best.push_back(&view);
    }
  }
  return best;
}

int Router::RankOf(const BackendView& view,
                   const RoutingQuery& query,
                   base::Instant now) const {
  using config::EngineRole;
  bool fit = view.role == EngineRole::kMixed;
  switch (query.stage) {
    case RequestStage::kWhole:
      fit = fit || (view.role == EngineRole::kDecode &&
                    query.prompt_tokens <= this->settings.small_prefill_tokens);
      break;
    case RequestStage::kPrefill:
      fit = fit || view.role == EngineRole::kPrefill;
      break;
    case RequestStage::kDecode:
      fit = fit || view.role == EngineRole::kDecode;
      break;
  }
  const bool stale = now - view.reported > this->settings.max_status_age;
  return (query.excluded.contains(view.backend_server) ? kExcludedRank : 0) +
         (stale ? kStaleRank : 0) + (fit ? 0 : kUnfitRank);
}

RoutingChoice Router::EstimateAt(const BackendView& view,
                                 const RoutingQuery& query,
                                 int64_t cached_tokens,
                                 base::Instant now) const {
  const bool prefills = query.stage != RequestStage::kDecode;
  const int64_t missing =
      prefills ? std::max<int64_t>(0, query.prompt_tokens - cached_tokens) : 0;
  double seconds =
      std::max(this->SecondsUntilSlot(view, query.model.has_value()),
               this->SecondsAtLimit(view));
  if (query.model && prefills) {
    const double rate =
        ValueOrDefault(view.prefill_tokens_per_second,
                       this->settings.prefill_tokens_per_second);
    seconds +=
        (this->PrefillTokensAhead(view, now) + static_cast<double>(missing)) /
        rate;
  }
  base::Duration wait = ToDuration(seconds);
  if (view.data_centre != this->settings.data_centre) {
    wait += this->settings.cross_data_centre_delay;
  }
  if (prefills && view.role == config::EngineRole::kDecode) {
    wait += this->settings.decode_engine_penalty;
  }
  return {view.backend_server, wait, missing};
}

// Returns the reported prefill backlog plus the tokens sent since, less those
// that have probably been prefilled.
double Router::PrefillTokensAhead(const BackendView& view,
                                  base::Instant now) const {
  const double rate = ValueOrDefault(view.prefill_tokens_per_second,
                                     this->settings.prefill_tokens_per_second);
  double tokens = static_cast<double>(view.queued_prefill_tokens);
  base::Instant at = view.reported;
  const auto drain_until = [&](base::Instant until) {
    if (until > at) {
      tokens = std::max(0.0, tokens - rate * Seconds(until - at).count());
      at = until;
    }
  };
  for (const SentAttempt& attempt : this->SentTo(view.backend_server)) {
    drain_until(attempt.at);
    tokens += static_cast<double>(attempt.prefill_tokens);
  }
  drain_until(now);
  return tokens;
}

double Router::SecondsUntilSlot(const BackendView& view, bool model) const {
  const auto sent_since =
      static_cast<int64_t>(this->SentTo(view.backend_server).size());
  const int64_t slots = std::max<int64_t>(1, view.slots);
  const int64_t ahead =
      view.queued_requests + view.running_requests + sent_since - slots;
  if (ahead < 0) {
    return 0;
  }
  const double ends_per_second =
      model ? ValueOrDefault(view.decode_tokens_per_second,
                             this->settings.decode_tokens_per_second) /
                  ValueOrDefault(this->settings.output_tokens, 1)
            : static_cast<double>(slots) /
                  Seconds(this->settings.plain_request_duration).count();
  return static_cast<double>(ahead + 1) / ends_per_second;
}

double Router::SecondsAtLimit(const BackendView& view) const {
  if (!view.requests_per_second.has_value()) {
    return 0;
  }
  const auto sent_since =
      static_cast<int64_t>(this->SentTo(view.backend_server).size());
  return static_cast<double>(view.queued_requests + sent_since) /
         *view.requests_per_second;
}

const std::vector<Router::SentAttempt>& Router::SentTo(
    const base::BackendServerId& backend_server) const {
  static const std::vector<SentAttempt> kNone;
  const auto found = this->sent.find(backend_server);
  return found == this->sent.end() ? kNone : found->second;
}

RoutingChoice Router::Pick(const ExpectedWaitPolicy&,
                           const Candidates& candidates,
                           const RoutingQuery& query,
                           base::Instant now,
                           Generator& generator) {
  const auto cached = this->prefix_index.CachedTokens(query.prefix_hashes, now);
  const auto cached_at = [&](const BackendView* view) {
    const auto found = cached.find(view->backend_server);
    return found == cached.end() ? 0 : found->second;
  };
  const size_t first = RandomIndex(candidates.size(), generator);
  Candidates sampled = {candidates[first]};
  if (candidates.size() > 1) {
    // The second sample is drawn from the other candidates, so the two differ.
    const size_t step = 1 + RandomIndex(candidates.size() - 1, generator);
    sampled.push_back(candidates[(first + step) % candidates.size()]);
  }
  const auto best_match =
      std::max_element(candidates.begin(), candidates.end(),
                       [&](const BackendView* one, const BackendView* other) {
                         return cached_at(one) < cached_at(other);
                       });
  if (cached_at(*best_match) > 0) {
    sampled.push_back(*best_match);
  }
  RoutingChoice best;
  for (const BackendView* view : sampled) {
    const RoutingChoice choice =
        this->EstimateAt(*view, query, cached_at(view), now);
    if (view == sampled.front() || choice.expected_wait < best.expected_wait) {
      best = choice;
    }
  }
  return best;
}

RoutingChoice Router::Pick(const RoundRobinPolicy&,
                           const Candidates& candidates,
                           const RoutingQuery& query,
                           base::Instant now,
                           Generator&) {
  base::BackendServerId& last = this->last_choices[query.service];
  const auto next = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const BackendView* view) { return view->backend_server > last; });
  last =
      (next == candidates.end() ? candidates.front() : *next)->backend_server;
  return this->Estimate(last, query, now);
}

RoutingChoice Router::Pick(const RandomPolicy&,
                           const Candidates& candidates,
                           const RoutingQuery& query,
                           base::Instant now,
                           Generator& generator) {
  const size_t index = RandomIndex(candidates.size(), generator);
  return this->Estimate(candidates[index]->backend_server, query, now);
}

}  // namespace carawayvalve::core
