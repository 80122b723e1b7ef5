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

TEST_CASE("a request that may not be repeated") {
  const RequestRules payment = {false, false, 2};

  SUBCASE("that was declined is sent to another backend server") {
    CHECK(Is<TryAgain>(DecideNextStep(payment, {1, false, false},
                                      AttemptDeclined{}, kAllConditions)));

    SUBCASE(
        "and refused as not run when no other backend server is available") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(
          payment, {1, false, false}, AttemptDeclined{}, {false, true, true})));
    }
    SUBCASE("and refused as not run when the retry budget is exhausted") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(
          payment, {1, false, false}, AttemptDeclined{}, {true, false, true})));
    }
    SUBCASE("and refused as not run after the last attempt") {
      CHECK(Is<RefuseAsNotRun>(DecideNextStep(
          payment, {2, false, false}, AttemptDeclined{}, kAllConditions)));
    }
  }
  SUBCASE("that broke off is neither repeated nor reported as not run") {
    CHECK(Is<AnswerUnknownOutcome>(DecideNextStep(
        payment, {1, true, false}, AttemptInterrupted{}, kAllConditions)));
  }
  SUBCASE("that failed gets the failure forwarded") {
    CHECK(Is<ForwardFailure>(DecideNextStep(payment, {1, true, false},
                                            AttemptFailed{}, kAllConditions)));
  }
  SUBCASE("that was never sent needs no retry budget") {
    CHECK(Is<TryAgain>(DecideNextStep(payment, {0, false, false},
                                      AttemptNotSent{}, {true, false, true})));
  }
}

TEST_CASE("a request that may be repeated") {
  const RequestRules lookup = {true, false, 2};

  SUBCASE("that broke off is repeated") {
    CHECK(Is<TryAgain>(DecideNextStep(lookup, {1, true, false},
                                      AttemptInterrupted{}, kAllConditions)));
  }
  SUBCASE("that failed is repeated, then gets the failure forwarded") {
    CHECK(Is<TryAgain>(DecideNextStep(lookup, {1, true, false}, AttemptFailed{},
                                      kAllConditions)));
    CHECK(Is<ForwardFailure>(DecideNextStep(lookup, {2, true, false},
                                            AttemptFailed{}, kAllConditions)));
  }
  SUBCASE("that ran and was then declined isn't reported as not run") {
    CHECK(Is<AnswerUnknownOutcome>(DecideNextStep(
        lookup, {2, true, false}, AttemptDeclined{}, kAllConditions)));
  }
}

TEST_CASE("a stream of which the caller has received some events") {
  SUBCASE("is resumed at another backend server if its route allows that") {
    CHECK(Is<TryAgain>(DecideNextStep({false, true, 2}, {1, true, true},
                                      AttemptInterrupted{}, kAllConditions)));
  }
  SUBCASE("is broken off if it may not be resumed") {
    CHECK(Is<BreakAnswerOff>(DecideNextStep({false, false, 2}, {1, true, true},
                                            AttemptInterrupted{},
                                            kAllConditions)));
  }
}

TEST_CASE("statuses that say that a request hasn't run") {
  for (const int status : {408, 421, 429, 503}) {
    CHECK(SaysNotRun(status));
  }
  for (const int status : {200, 400, 404, 500, 502, 504}) {
    CHECK_FALSE(SaysNotRun(status));
  }
}

// Checks every combination of rules, progress and attempt end.
TEST_CASE("no decision wrongly repeats a request or reports a false outcome") {
  const std::initializer_list<AttemptEnd> ends = {
      AttemptNotSent{}, AttemptDeclined{}, AttemptInterrupted{},
      AttemptFailed{}};
  for (const bool may_repeat : kBooleans) {
    for (const bool may_resume : kBooleans) {
      for (const bool earlier_may_have_run : kBooleans) {
        for (const bool answer_begun : kBooleans) {
          for (const int attempts : {0, 1, 2, 3}) {
            for (const AttemptEnd& end : ends) {
              const bool attempt_may_have_run =
                  std::holds_alternative<AttemptInterrupted>(end) ||
                  std::holds_alternative<AttemptFailed>(end);
              const RequestRules rules = {may_repeat, may_resume, 2};
              const RequestProgress progress = {
                  attempts,
                  earlier_may_have_run || attempt_may_have_run || answer_begun,
                  answer_begun};
              const NextStep step =
                  DecideNextStep(rules, progress, end, kAllConditions);
              CAPTURE(may_repeat);
              CAPTURE(may_resume);
              CAPTURE(progress.may_have_run);
              CAPTURE(answer_begun);
              CAPTURE(attempts);
              CHECK_FALSE((Is<RefuseAsNotRun>(step) && progress.may_have_run));
              CHECK_FALSE((Is<TryAgain>(step) && progress.may_have_run &&
                           !may_repeat && !may_resume));
              CHECK_FALSE((Is<TryAgain>(step) && answer_begun && !may_resume));
              CHECK_FALSE((Is<TryAgain>(step) && attempts >= 2));
              CHECK(Is<BreakAnswerOff>(step) ==
                    (answer_begun && !Is<TryAgain>(step)));
              const NextStep last = DecideFinalStep(progress);
              CHECK(Is<RefuseAsNotRun>(last) == !progress.may_have_run);
              CHECK(Is<BreakAnswerOff>(last) == answer_begun);
            }
          }
        }
      }
    }
  }
}

}  // namespace carawayvalve::core
