#include "carawayvalve/core/placement_report.h"

#include <algorithm>
#include <iterator>

#include "carawayvalve/core/placement.h"
#include "placement_engines.h"

namespace carawayvalve::core {

const char* DescriptionOf(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kLeaves:
      return "leaves and takes no new requests";
    case Exclusion::kTried:
      return "the request has been tried there";
    case Exclusion::kOtherVersion:
      return "another software version began the stream";
    case Exclusion::kAskedToWait:
      return "asked for no requests for a while";
    case Exclusion::kRateLimit:
      return "its rate limit is used up";
    case Exclusion::kUnhealthy:
      return "fails or is silent, and others can answer";
    case Exclusion::kReserved:
      return "prefills short prompts only";
  }
  return "";
}

CostTerms Placer::TermsOf(const Estimate& estimate, base::Instant now) const {
  CostTerms terms;
  terms.expected = estimate.wait;
  terms.work_ahead = estimate.work_ahead;
  terms.failure_and_distance = this->Penalty(*estimate.entry, now);
  terms.affinity = estimate.cost - estimate.wait - terms.failure_and_distance;
  terms.cost = estimate.cost;
  terms.slowness = this->SlownessOf(*estimate.entry, now);
  terms.missing_tokens = estimate.missing_tokens;
  terms.requests_ahead = estimate.requests_ahead;
  terms.tokens_ahead = estimate.tokens_ahead;
  if (estimate.copy_from != nullptr) {
    terms.copy_from = estimate.copy_from->id;
  }
  return terms;
}

std::map<base::BackendServerId, CostTerms> Placer::TermsOfAll(
    const Candidates& candidates,
    const PlacementQuery& query,
    base::Instant now) const {
  std::map<base::BackendServerId, CostTerms> terms;
  if (query.prompt == nullptr) {
    for (const BackendEntry* entry : candidates) {
      terms[entry->id] = this->TermsOf(this->EstimatePlain(*entry, now), now);
    }
    return terms;
  }
  Candidates decode_engines;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(decode_engines),
      [](const BackendEntry* entry) { return !IsPrefillEngine(*entry); });
  for (const Candidates& group :
       {decode_engines, this->PrefillEngines(candidates, *query.prompt)}) {
    const PrefixAffinity affinity =
        this->FindAffinity(group, *query.prompt, now);
    for (const BackendEntry* entry : group) {
      terms[entry->id] = this->TermsOf(
          this->EstimateEngine(*entry, *query.prompt, affinity, now), now);
    }
  }
  return terms;
}

std::vector<CandidateReport> Placer::Report(const PlacementQuery& query,
                                            base::Instant now) const {
  const Candidates candidates = this->FindCandidates(query, now);
  const auto terms = this->TermsOfAll(candidates, query, now);
  std::vector<CandidateReport> reports;
  for (const auto& [id, entry] : this->directory.entries()) {
    if (entry.service != query.service) {
      continue;
    }
    const bool is_candidate = std::find(candidates.begin(), candidates.end(),
                                        &entry) != candidates.end();
    const auto found = terms.find(id);
    if (found != terms.end()) {
      reports.push_back({id, found->second});
    } else if (is_candidate) {
      reports.push_back({id, Exclusion::kReserved});
    } else {
      reports.push_back({id, this->WhyExcluded(entry, query, now)
                                 .value_or(Exclusion::kUnhealthy)});
    }
  }
  return reports;
}

}  // namespace carawayvalve::core
