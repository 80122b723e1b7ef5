#include "carawayvalve/core/admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace carawayvalve::core {

namespace {

using base::ClientAccountId;
using base::Instant;
using base::Milliseconds;

const Instant kStart;
const ClientAccountId kGuild{"guild"};
const ClientAccountId kZoo{"zoo"};

AdmissionResult AdmitWithoutWait(Admission& admission,
                                 const ClientAccountId& account) {
  Admission::Generator generator(1);
  return admission.Admit(account, {}, kStart + Milliseconds(1000), kStart,
                         generator);
}

bool IsAdmitted(const AdmissionResult& result) {
  return std::holds_alternative<Admitted>(result);
}

}  // namespace

TEST_CASE("Admission") {
  Admission admission({.max_in_flight = 12, .share_of_free = 2});
  Admission::Generator generator(1);

  SUBCASE("an account over its limit is refused") {
    admission.SetLimits({{.name = kGuild, .max_requests_in_flight = 2}}, 1);
    CHECK(IsAdmitted(AdmitWithoutWait(admission, kGuild)));
    CHECK(IsAdmitted(AdmitWithoutWait(admission, kGuild)));
    const AdmissionResult refused = AdmitWithoutWait(admission, kGuild);
    REQUIRE_FALSE(IsAdmitted(refused));
    CHECK(std::get<NotAdmitted>(refused).refusal ==
          AdmissionRefusal::kAccountLimit);
    CHECK(IsAdmitted(AdmitWithoutWait(admission, kZoo)));

    SUBCASE("and admitted again once one of its requests has ended") {
      admission.Release(kGuild, Milliseconds(10));
      CHECK(IsAdmitted(AdmitWithoutWait(admission, kGuild)));
    }
  }
  SUBCASE("each of several processes enforces twice its share of a limit") {
    admission.SetLimits({{.name = kGuild, .max_requests_in_flight = 9}}, 6);
    for (int i = 0; i < 3; ++i) {
      CHECK(IsAdmitted(AdmitWithoutWait(admission, kGuild)));
    }
    CHECK_FALSE(IsAdmitted(AdmitWithoutWait(admission, kGuild)));
  }
  SUBCASE("one account can't use all slots of the process") {
    int64_t taken = 0;
    while (IsAdmitted(AdmitWithoutWait(admission, kGuild))) {
      ++taken;
    }
    CHECK(taken == 8);
    CHECK(IsAdmitted(AdmitWithoutWait(admission, kZoo)));
  }
  SUBCASE("a request that can't meet its deadline is refused immediately") {
    const AdmissionResult refused =
        admission.Admit(kGuild, Milliseconds(9000), kStart + Milliseconds(4000),
                        kStart, generator);
    REQUIRE_FALSE(IsAdmitted(refused));
    const auto& reasons = std::get<NotAdmitted>(refused);
    CHECK(reasons.refusal == AdmissionRefusal::kTooLate);
    CHECK(reasons.retry_after >= Milliseconds(5000));
    CHECK(reasons.retry_after <= Milliseconds(7500));
    CHECK(admission.in_flight() == 0);
  }
  SUBCASE("Retry-After stays between 1 and 90 seconds") {
    for (const int ms : {-5, 0, 1, 1000000000}) {
      const Milliseconds wait = JitteredRetryAfter(Milliseconds(ms), generator);
      CHECK(wait >= Milliseconds(1000));
      CHECK(wait <= Milliseconds(90000));
    }
  }
}

TEST_CASE("Admission leaves free slots for other accounts") {
  CHECK(rc::check(
      "counts are exact, and an account gets its share of the free slots",
      [](const std::vector<std::pair<bool, uint8_t>>& steps) {
        constexpr int64_t kMaxInFlight = 12;
        Admission admission(
            {.max_in_flight = kMaxInFlight, .share_of_free = 2});
        std::map<ClientAccountId, int64_t> in_flight;
        int64_t total = 0;
        for (const auto& [arrives, number] : steps) {
          const ClientAccountId account{std::to_string(number % 3)};
          if (arrives) {
            const bool fits = in_flight[account] < 2 * (kMaxInFlight - total);
            RC_ASSERT(IsAdmitted(AdmitWithoutWait(admission, account)) == fits);
            in_flight[account] += fits ? 1 : 0;
            total += fits ? 1 : 0;
          } else {
            admission.Release(account, Milliseconds(number));
            total -= in_flight[account] > 0 ? 1 : 0;
            in_flight[account] -= in_flight[account] > 0 ? 1 : 0;
          }
          RC_ASSERT(admission.in_flight() == total);
          RC_ASSERT(admission.InFlightOf(account) == in_flight[account]);
          RC_ASSERT(total <= kMaxInFlight);
        }
      }));
}

}  // namespace carawayvalve::core
