#include "carawayvalve/core/attempt_policy.h"

#include <algorithm>
#include <array>

namespace carawayvalve::core {

namespace {

constexpr std::array kNotRunStatuses = {408, 421, 429, 503};

bool MayRunAgain(const RequestRules& rules, const RequestProgress& progress) {
  if (progress.answer_begun) {
    return rules.may_resume;
  }
  return !progress.may_have_run || rules.may_repeat || rules.may_resume;
}

bool ConditionsAllowRetry(const RequestRules& rules,
                          const RequestProgress& progress,
                          const AttemptEnd& end,
                          const RetryConditions& conditions) {
  if (!conditions.backend_available || !conditions.time_left ||
      progress.attempts >= rules.max_attempts) {
    return false;
  }
  // A request that was never sent costs the service no retry, so its next
  // attempt needs no budget.
  return conditions.budget_left ||
         (std::holds_alternative<AttemptNotSent>(end) &&
          progress.attempts == 0);
}

}  // namespace

NextStep DecideNextStep(const RequestRules& rules,
                        const RequestProgress& progress,
                        const AttemptEnd& end,
                        const RetryConditions& conditions) {
  if (MayRunAgain(rules, progress) &&
      ConditionsAllowRetry(rules, progress, end, conditions)) {
    return TryAgain{};
  }
  if (std::holds_alternative<AttemptFailed>(end) && !progress.answer_begun) {
    return ForwardFailure{};
  }
  return DecideFinalStep(progress);
}

bool SaysNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

NextStep DecideFinalStep(const RequestProgress& progress) {
  if (progress.answer_begun) {
    return BreakAnswerOff{};
  }
  if (progress.may_have_run) {
    return AnswerUnknownOutcome{};
  }
  return RefuseAsNotRun{};
}

}  // namespace carawayvalve::core
