#include "carawayvalve/core/request_flow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "request_network.h"

namespace carawayvalve::core {

using base::AttemptId;
using base::Instant;
using testing::RequestNetwork;

namespace {

const Instant kStart;
const AttemptId kAttempt{"a1"};

template <typename Action>
bool Has(const std::vector<RequestAction>& actions) {
  return std::any_of(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<Action>(action);
  });
}

AttemptViewReceived MakeView(AttemptPhase phase,
                             const std::string& bytes = "") {
  AttemptView view;
  view.phase = phase;
  view.bytes = bytes;
  view.last = phase == AttemptPhase::kFinished;
  return {kAttempt, view};
}

}  // namespace

TEST_CASE("RequestFlow") {
  const Instant deadline = kStart + std::chrono::seconds(10);
  RequestFlow flow({.deadline = deadline});
  flow.Begin(kStart);
  flow.Step(BackendChosen{kAttempt, {"b1"}}, kStart);

  SUBCASE("a withdrawn key") {
    SUBCASE("abandons an attempt that is queued after the withdrawal") {
      flow.Step(PermissionWithdrawn{}, kStart);
      CHECK(Has<AbandonAttempt>(flow.Step(SubmitAccepted{kAttempt}, kStart)));
    }
    SUBCASE("abandons a queued attempt, again if the abandon was lost") {
      flow.Step(SubmitAccepted{kAttempt}, kStart);
      CHECK(Has<AbandonAttempt>(flow.Step(PermissionWithdrawn{}, kStart)));
      flow.Step(SubmitUnanswered{kAttempt}, kStart);
      const Instant later = kStart + std::chrono::seconds(1);
      CHECK(Has<AbandonAttempt>(flow.Step(RequestTick{}, later)));
    }
  }
  // Guards against requests whose connections a stopping process closes unread.
  SUBCASE("a process that stops before the deadline") {
    const Instant end = kStart + std::chrono::seconds(3);
    CHECK(flow.Step(AnswerBy{end}, kStart).empty());
    const Instant settles = end - RequestOptions().settle_time;
    flow.Step(SubmitAccepted{kAttempt}, kStart);
    CHECK(flow.Step(RequestTick{}, settles - std::chrono::milliseconds(1))
              .empty());

    SUBCASE("asks what became of the attempt before it ends") {
      CHECK(Has<AbandonAttempt>(flow.Step(RequestTick{}, settles)));
      CHECK(Has<FinishRequest>(flow.Step(RequestTick{}, end)));
    }
    SUBCASE("keeps an earlier deadline") {
      flow.Step(AnswerBy{deadline + std::chrono::seconds(9)}, kStart);
      CHECK(Has<AbandonAttempt>(flow.Step(RequestTick{}, settles)));
    }
  }
  SUBCASE("an answer that can't be decoded fails the request") {
    flow.Step(SubmitAccepted{kAttempt}, kStart);
    const auto actions =
        flow.Step(MakeView(AttemptPhase::kRunning, "?????"), kStart);
    CHECK(Has<FinishRequest>(actions));
  }
  SUBCASE("a lost abandon is repeated after a delay") {
    CHECK(Has<AbandonAttempt>(flow.Step(SubmitUnanswered{kAttempt}, kStart)));
    CHECK_FALSE(
        Has<AbandonAttempt>(flow.Step(SubmitUnanswered{kAttempt}, kStart)));
    CHECK(Has<AbandonAttempt>(
        flow.Step(RequestTick{}, kStart + base::Milliseconds(100))));
  }
  SUBCASE("at the deadline") {
    flow.Step(SubmitAccepted{kAttempt}, kStart);
    CHECK(Has<AbandonAttempt>(flow.Step(RequestTick{}, deadline)));

    SUBCASE("a request that is still running fails at once") {
      CHECK(Has<FinishRequest>(
          flow.Step(MakeView(AttemptPhase::kRunning), deadline)));
    }
    SUBCASE("a complete answer is still delivered") {
      AttemptViewReceived finished = MakeView(AttemptPhase::kFinished);
      finished.view.last = false;
      flow.Step(finished, deadline);
      CHECK(flow.reading());
      const auto actions = flow.Step(
          MakeView(AttemptPhase::kFinished, EncodeRecord(AnswerEnd{})),
          deadline);
      REQUIRE(Has<FinishRequest>(actions));
      CHECK(std::get<FinishRequest>(actions.back()).whole);
    }
  }
}

TEST_CASE(
    "Requests over a network that loses, duplicates and delays messages") {
  CHECK(
      rc::check("run no more often than allowed and get correct outcomes", [] {
        const auto steps = *rc::gen::resize(
            400,
            rc::gen::arbitrary<std::vector<std::pair<uint8_t, uint8_t>>>());
        RequestNetwork network(3);
        for (const auto& [kind, number] : steps) {
          network.Step(kind, number);
        }
        network.Settle();
      }));
}

}  // namespace carawayvalve::core
