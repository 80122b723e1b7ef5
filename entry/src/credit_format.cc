#include "credit_format.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawayvalve::entry {

namespace {

constexpr double kThousandths = 1000;

double FromThousandths(int64_t amount) {
  return static_cast<double>(std::max<int64_t>(amount, 0)) / kThousandths;
}

}  // namespace

wire::gen::CreditGrant ToWire(const core::CreditGrant& grant,
                              base::Instant now) {
  wire::gen::CreditGrant encoded;
  encoded.account = grant.account.value;
  encoded.id = grant.id;
  encoded.question = grant.question;
  encoded.balance = std::llround(grant.balance * kThousandths);
  for (const core::CreditPortion& portion : grant.credit) {
    wire::gen::CreditPortion part;
    part.age_ms = base::ToMilliseconds(now - portion.earned) + 1;
    part.amount =
        static_cast<int64_t>(std::floor(portion.amount * kThousandths));
    encoded.credit.push_back(part);
  }
  return encoded;
}

core::CreditGrant FromWire(const wire::gen::CreditGrant& grant,
                           base::Instant reference) {
  core::CreditGrant decoded{{grant.account},
                            grant.id,
                            grant.question,
                            {},
                            FromThousandths(grant.balance)};
  for (const wire::gen::CreditPortion& part : grant.credit) {
    decoded.credit.push_back(
        {reference - base::Milliseconds(std::max<int64_t>(part.age_ms, 0)),
         FromThousandths(part.amount)});
  }
  return decoded;
}

wire::gen::CreditQuestion ToWire(const core::CreditQuestion& question) {
  wire::gen::CreditQuestion encoded;
  encoded.account = question.account.value;
  encoded.id = question.id;
  encoded.amount =
      static_cast<int64_t>(std::ceil(question.amount * kThousandths));
  encoded.takes_part = question.takes_part;
  return encoded;
}

core::CreditQuestion FromWire(const wire::gen::CreditQuestion& question) {
  return {{question.account},
          question.id,
          FromThousandths(question.amount),
          question.takes_part};
}

int64_t ToClockUs(base::Instant instant) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             instant.time_since_epoch())
      .count();
}

base::Instant FromClockUs(int64_t clock_us) {
  return base::Instant(std::chrono::microseconds(clock_us));
}

}  // namespace carawayvalve::entry
