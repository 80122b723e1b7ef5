#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "answer_writer.h"
#include "http_mapping.h"

namespace carawayvalve::entry {

namespace {

using base::Milliseconds;
using core::FailureKind;
using nlohmann::json;

const base::RequestId kRequest{"r-1"};
constexpr char kMinRetryAfter[] = "1";
constexpr char kNoRetryAfter[] = "";

// An answer's status, outcome and Retry-After, without its texts.
struct Refusal {
  int status = 0;
  std::string outcome;
  std::string retry_after;

  bool operator==(const Refusal&) const = default;
};

Refusal ReadRefusal(const ExchangeHead& head, const std::string& body) {
  CHECK(FindHeader(head.headers, "Content-Type") == "application/problem+json");
  return {head.status, json::parse(body)["outcome"],
          FindHeader(head.headers, "Retry-After")};
}

Refusal ReadRefusal(const Problem& problem) {
  return ReadRefusal(ProblemHead(problem, kRequest),
                     ProblemBody(problem, kRequest));
}

// Returns the answer to a caller whose admitted request ends with `finish`.
Refusal ReadRefusal(const core::FinishRequest& finish) {
  const auto exchange = std::make_shared<Exchange>();
  AnswerWriter writer(kRequest, PlainFormat{}, exchange);
  writer.Finish(finish);
  const auto head = exchange->Head([] {}, [] {});
  const auto body = exchange->CompleteBody();
  REQUIRE(head);
  REQUIRE(body);
  return ReadRefusal(*head, *body);
}

core::FinishRequest FailedFinish(FailureKind failure,
                                 Milliseconds retry_after,
                                 bool deadline_passed) {
  return {.whole = false,
          .failure = failure,
          .reason = "reason",
          .retry_after = retry_after,
          .deadline_passed = deadline_passed};
}

}  // namespace

TEST_CASE(
    "a refusal has its outcome, and Retry-After only if a retry may help") {
  SUBCASE("a request that wasn't admitted") {
    const Milliseconds given{2500};
    const std::vector<std::pair<int, std::string>> rows = {
        {400, kNoRetryAfter}, {401, kNoRetryAfter}, {404, kNoRetryAfter},
        {405, kNoRetryAfter}, {409, "3"},           {413, kNoRetryAfter},
        {422, kNoRetryAfter}, {429, "3"},           {503, "3"},
        {505, kNoRetryAfter}};
    for (const auto& row : rows) {
      const int status = row.first;
      const Problem problem{
          .status = status, .title = "Refused", .retry_after = given};
      CAPTURE(status);
      CHECK(ReadRefusal(problem) == Refusal{status, "not_run", row.second});
    }
  }

  SUBCASE("an admitted request that failed") {
    using enum FailureKind;
    const Milliseconds none{0};
    const Milliseconds two_seconds{2000};
    const std::vector<std::pair<core::FinishRequest, Refusal>> rows = {
        {FailedFinish(kNotRun, two_seconds, false), {503, "not_run", "2"}},
        {FailedFinish(kNotRun, none, false), {503, "not_run", kMinRetryAfter}},
        {FailedFinish(kNotRun, two_seconds, true), {504, "not_run", "2"}},
        {FailedFinish(kNotRun, none, true), {504, "not_run", kMinRetryAfter}},
        {FailedFinish(kUnknownOutcome, two_seconds, false),
         {502, "unknown_outcome", "2"}},
        {FailedFinish(kUnknownOutcome, two_seconds, true),
         {504, "unknown_outcome", "2"}},
        {FailedFinish(kIncomplete, two_seconds, false),
         {502, "incomplete", "2"}}};
    for (const auto& row : rows) {
      const Refusal& refusal = row.second;
      CAPTURE(refusal.status);
      CAPTURE(refusal.outcome);
      CHECK(ReadRefusal(row.first) == refusal);
    }
  }

  SUBCASE("a request whose Idempotency-Key was used before") {
    const Problem problem{.status = 409,
                          .title = "Ran before",
                          .outcome = Outcome::kUnknownOutcome,
                          .retry_after = Milliseconds(1000)};
    CHECK(ReadRefusal(problem) ==
          Refusal{409, "unknown_outcome", kNoRetryAfter});
  }
}

}  // namespace carawayvalve::entry
