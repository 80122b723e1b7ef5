// proof 10: A refusal that says "not run" is true.
// proof 11: A non-idempotent request runs at most once.

#include "carawayvalve/core/attempt_ledger.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::AttemptId;
using base::Instant;

TEST_CASE("AttemptLedger") {
  const AttemptId attempt{"a1"};
  const Instant now;
  AttemptLedger ledger(std::chrono::seconds(60));

  SUBCASE("an abandoned attempt that arrives later is never queued") {
    CHECK(ledger.Abandon(attempt, now, now) == AttemptPhase::kNotRun);
    CHECK_FALSE(ledger.Queue(attempt, now));
    CHECK_FALSE(ledger.Start(attempt));
  }

  SUBCASE("a queued attempt") {
    REQUIRE(ledger.Queue(attempt, now));

    SUBCASE("isn't queued twice") {
      CHECK_FALSE(ledger.Queue(attempt, now));
    }

    SUBCASE("that is abandoned doesn't start") {
      CHECK(ledger.Abandon(attempt, now, now) == AttemptPhase::kNotRun);
      CHECK_FALSE(ledger.Start(attempt));
    }

    SUBCASE("that has started can't be abandoned") {
      REQUIRE(ledger.Start(attempt));
      CHECK(ledger.Abandon(attempt, now, now) == AttemptPhase::kRunning);

      SUBCASE("and its output is read by offset") {
        ledger.Append(attempt, "hello ");
        ledger.Append(attempt, "world");
        CHECK(ledger.Read(attempt, 0, 100).bytes == "hello world");
        CHECK(ledger.Read(attempt, 6, 3).bytes == "wor");
        CHECK(ledger.Read(attempt, 6, 3).offset == 6);
        CHECK_FALSE(ledger.Read(attempt, 6, 100).last);

        SUBCASE(
            "output before the last read offset is discarded, as the view "
            "shows") {
          CHECK(ledger.Read(attempt, 0, 100).offset == 6);
        }
        SUBCASE("only the read that reaches the last byte is marked as last") {
          ledger.Finish(attempt, AttemptOutcome::kAnswered, "", now);
          CHECK_FALSE(ledger.Read(attempt, 6, 3).last);
          CHECK(ledger.Read(attempt, 6, 5).last);
        }
      }
    }
  }

  SUBCASE("an attempt that ran and was pruned isn't reported as not run") {
    const Instant later = now + std::chrono::seconds(61);
    ledger.Queue(attempt, now);
    ledger.Start(attempt);
    ledger.Finish(attempt, AttemptOutcome::kAnswered, "", now);
    ledger.Prune(later);
    CHECK(ledger.Abandon(attempt, now, later) == AttemptPhase::kUnknown);
    CHECK(ledger.Abandon(attempt, now, later) == AttemptPhase::kUnknown);
    CHECK(ledger.Abandon(AttemptId{"a2"}, later, later) ==
          AttemptPhase::kNotRun);
  }

  SUBCASE(
      "ended attempts are pruned after the retention, running ones aren't") {
    ledger.Abandon(attempt, now);
    ledger.Queue(AttemptId{"a2"}, now);
    ledger.Start(AttemptId{"a2"});
    ledger.Prune(now + std::chrono::seconds(61));
    CHECK(ledger.PhaseOf(attempt) == AttemptPhase::kUnknown);
    CHECK(ledger.PhaseOf(AttemptId{"a2"}) == AttemptPhase::kRunning);
  }
}

}  // namespace carawayvalve::core
