#include "carawayvalve/core/attempt_policy.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace carawayvalve::core {

namespace {

constexpr RetryConditions kAllConditions = {true, true, true};
constexpr bool kBooleans[] = {false, true};

template <typename Step>
bool Is(const NextStep& step) {
  return std::holds_alternative<Step>(step);
}

}  // namespace

TEST_CASE("a payment") {
  const RequestRules payment = {false, false, 2};

  SUBCASE("that was declined is sent to another backend server") {
    CHECK(Is<TryAgain>(DecideNextStep(payment, {1, false, false},
                                      AttemptDeclined{}, kAllConditions)));

    SUBCASE("and refused as not run when none is left") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(
          payment, {1, false, false}, AttemptDeclined{}, {false, true, true})));
    }
    SUBCASE("and refused as not run when the retry budget is used up") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(
          payment, {1, false, false}, AttemptDeclined{}, {true, false, true})));
    }
    SUBCASE("and refused as not run after the last attempt") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(payment, {2, false, false},
                                              AttemptDeclined{}, kAllConditions)));
    }
  }
  SUBCASE("that broke off is never sent again, nor called not run") {
    CHECK(Is<AnswerUnknownOutcome>(
        DecideNextStep(payment, {1, true, false}, AttemptBroken{}, kAllConditions)));
  }
  SUBCASE("that failed is answered with the failure") {
    CHECK(Is<ForwardFailure>(
        DecideNextStep(payment, {1, true, false}, AttemptFailed{}, kAllConditions)));
  }
  SUBCASE("that never left this process draws on no budget") {
    CHECK(Is<TryAgain>(DecideNextStep(payment, {0, false, false},
                                      AttemptNotSent{}, {true, false, true})));
  }
}

TEST_CASE("a lookup") {
  const RequestRules lookup = {true, false, 2};

  SUBCASE("that broke off is tried once more") {
    CHECK(Is<TryAgain>(
        DecideNextStep(lookup, {1, true, false}, AttemptBroken{}, kAllConditions)));
  }
  SUBCASE("that failed is tried once more, then answered with the failure") {
    CHECK(Is<TryAgain>(
        DecideNextStep(lookup, {1, true, false}, AttemptFailed{}, kAllConditions)));
    CHECK(Is<ForwardFailure>(
        DecideNextStep(lookup, {2, true, false}, AttemptFailed{}, kAllConditions)));
  }
  SUBCASE("that ran and was then declined isn't called not run") {
    CHECK(Is<AnswerUnknownOutcome>(DecideNextStep(
        lookup, {2, true, false}, AttemptDeclined{}, kAllConditions)));
  }
}

TEST_CASE("a stream whose events the caller has got in part") {
  SUBCASE("goes on elsewhere where it may be resumed") {
    CHECK(Is<TryAgain>(DecideNextStep({false, true, 2}, {1, true, true},
                                      AttemptBroken{}, kAllConditions)));
  }
  SUBCASE("is broken off where it may not") {
    CHECK(Is<BreakAnswerOff>(DecideNextStep({false, false, 2}, {1, true, true},
                                            AttemptBroken{}, kAllConditions)));
  }
}

// Every combination of what can be known of a request.
TEST_CASE("no decision is untrue") {
  const std::initializer_list<AttemptEnd> ends = {
      AttemptNotSent{}, AttemptDeclined{}, AttemptBroken{}, AttemptFailed{}};
  for (const bool repeat : kBooleans) {
    for (const bool resume : kBooleans) {
      for (const bool ran : kBooleans) {
        for (const bool begun : kBooleans) {
          for (const int attempts : {0, 1, 2, 3}) {
            for (const AttemptEnd& end : ends) {
              const bool broke = std::holds_alternative<AttemptBroken>(end) ||
                                 std::holds_alternative<AttemptFailed>(end);
              const RequestRules rules = {repeat, resume, 2};
              const RequestProgress progress = {attempts, ran || broke || begun,
                                                begun};
              const NextStep step =
                  DecideNextStep(rules, progress, end, kAllConditions);
              CAPTURE(repeat);
              CAPTURE(resume);
              CAPTURE(progress.may_have_run);
              CAPTURE(begun);
              CAPTURE(attempts);
              CHECK_FALSE((Is<RefuseAsNotRun>(step) && progress.may_have_run));
              CHECK_FALSE((Is<TryAgain>(step) && progress.may_have_run &&
                           !repeat && !resume));
              CHECK_FALSE((Is<TryAgain>(step) && begun && !resume));
              CHECK_FALSE((Is<TryAgain>(step) && attempts >= 2));
              CHECK(Is<BreakAnswerOff>(step) == (begun && !Is<TryAgain>(step)));
              const NextStep last = DecideFinalStep(progress);
              CHECK(Is<RefuseAsNotRun>(last) == !progress.may_have_run);
              CHECK(Is<BreakAnswerOff>(last) == begun);
            }
          }
        }
      }
    }
  }
}

}  // namespace carawayvalve::core
