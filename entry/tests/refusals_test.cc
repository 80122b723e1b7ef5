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
constexpr char kLeast[] = "1";
constexpr char kNone[] = "";

// What a caller gets, without the texts.
struct Refusal {
  int status = 0;
  std::string outcome;
  std::string retry_after;

  bool operator==(const Refusal&) const = default;
};

Refusal RefusalOf(const ExchangeHead& head, const std::string& body) {
  CHECK(FindHeader(head.headers, "Content-Type") == "application/problem+json");
  return {head.status, json::parse(body)["outcome"],
          FindHeader(head.headers, "Retry-After")};
}

Refusal RefusalOf(const Problem& problem) {
  return RefusalOf(ProblemHead(problem, kRequest),
                   ProblemBody(problem, kRequest));
}

// The answer to a caller whose admitted request ends like this.
Refusal RefusalOf(const core::FinishRequest& finish) {
  const auto exchange = std::make_shared<Exchange>();
  AnswerWriter writer(kRequest, PlainFormat{}, exchange);
  writer.Finish(finish);
  const auto head = exchange->Head([] {}, [] {});
  const auto body = exchange->CompleteBody();
  REQUIRE(head);
  REQUIRE(body);
  return RefusalOf(*head, *body);
}

core::FinishRequest Failed(FailureKind failure,
                           Milliseconds retry_after,
                           bool deadline_passed) {
  return {.whole = false,
          .failure = failure,
          .reason = "reason",
          .retry_after = retry_after,
          .deadline_passed = deadline_passed};
}

}  // namespace

TEST_CASE("a refusal carries its outcome, and Retry-After if a repeat helps") {
  SUBCASE("of a request that wasn't admitted") {
    const Milliseconds given{2500};
    const std::vector<std::pair<int, std::string>> rows = {
        {400, kNone}, {401, kNone}, {404, kNone}, {405, kNone}, {409, "3"},
        {413, kNone}, {422, kNone}, {429, "3"},   {503, "3"},   {505, kNone}};
    for (const auto& row : rows) {
      const int status = row.first;
      const Problem problem{
          .status = status, .title = "Refused", .retry_after = given};
      CAPTURE(status);
      CHECK(RefusalOf(problem) == Refusal{status, "not_run", row.second});
    }
  }

  SUBCASE("of a request that was given up") {
    using enum FailureKind;
    const Milliseconds none{0};
    const Milliseconds two_seconds{2000};
    const std::vector<std::pair<core::FinishRequest, Refusal>> rows = {
        {Failed(kNotRun, two_seconds, false), {503, "not_run", "2"}},
        {Failed(kNotRun, none, false), {503, "not_run", kLeast}},
        {Failed(kNotRun, two_seconds, true), {504, "not_run", "2"}},
        {Failed(kNotRun, none, true), {504, "not_run", kLeast}},
        {Failed(kUnknownOutcome, two_seconds, false),
         {502, "unknown_outcome", "2"}},
        {Failed(kUnknownOutcome, two_seconds, true),
         {504, "unknown_outcome", "2"}},
        {Failed(kIncomplete, two_seconds, false), {502, "incomplete", "2"}}};
    for (const auto& row : rows) {
      const Refusal& refusal = row.second;
      CAPTURE(refusal.status);
      CAPTURE(refusal.outcome);
      CHECK(RefusalOf(row.first) == refusal);
    }
  }

  SUBCASE("of a request whose Idempotency-Key ran before") {
    const Problem problem{.status = 409,
                          .title = "Ran before",
                          .outcome = Outcome::kUnknownOutcome,
                          .retry_after = Milliseconds(1000)};
    CHECK(RefusalOf(problem) == Refusal{409, "unknown_outcome", kNone});
  }
}

}  // namespace carawayvalve::entry
