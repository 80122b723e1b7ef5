#include "carawayvalve/core/transfer_progress.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

namespace {

constexpr std::chrono::seconds kPeriod(1);

}  // namespace

TEST_CASE("an answer is waited for while it arrives") {
  TransferProgress progress;

  SUBCASE("once it has begun") {
    progress.Begin(0);

    SUBCASE("for many periods") {
      for (size_t period = 1; period <= 30; ++period) {
        CHECK(progress.Continues(period * kMinTransferRate, kPeriod));
      }

      SUBCASE("but not beyond a period without a byte") {
        CHECK_FALSE(progress.Continues(30 * kMinTransferRate, kPeriod));
      }

      SUBCASE("and not a byte at a time") {
        CHECK_FALSE(progress.Continues(30 * kMinTransferRate + 1, kPeriod));
      }

      SUBCASE("and not for ever") {
        CHECK(progress.Continues(31 * kMinTransferRate, kPeriod));
        CHECK_FALSE(progress.Continues(32 * kMinTransferRate, kPeriod));
      }
    }

    SUBCASE("by its rate, whatever the period") {
      CHECK(progress.Continues(kMinTransferRate / 4, kPeriod / 4));
      CHECK_FALSE(progress.Continues(kMinTransferRate / 2, kPeriod));
    }
  }

  SUBCASE("not at all unless it begins") {
    CHECK_FALSE(progress.Continues(0, kPeriod));
  }

  SUBCASE("if its beginning has arrived and isn't handled yet") {
    CHECK(progress.Continues(300, kPeriod));
    CHECK_FALSE(progress.Continues(301, kPeriod));
  }
}

}  // namespace carawayvalve::core
