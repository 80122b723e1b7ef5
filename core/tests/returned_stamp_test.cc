// Guards against a process that takes a stamp of its predecessor, made before
// the machine rebooted, for a reading of its own clock: what a peer proves then
// seems to lie in the future.
#include "carawayvalve/core/returned_stamp.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

namespace {

const ProcessRun kSelf{{"second"}, Instant() + Milliseconds(5000)};

}  // namespace

TEST_CASE("a peer returns a stamp") {
  const Instant now = kSelf.started + Milliseconds(100);
  const Instant sent = kSelf.started + Milliseconds(40);
  CHECK(SentAt({{"second"}, sent}, kSelf, now) == sent);

  SUBCASE("of an earlier process") {
    CHECK_FALSE(SentAt({{"first"}, sent}, kSelf, now).has_value());
    CHECK_FALSE(SentAt({{}, sent}, kSelf, now).has_value());
  }
  SUBCASE("from before the start, or from the future") {
    const Milliseconds step(1);
    CHECK_FALSE(SentAt({{"second"}, kSelf.started - step}, kSelf, now));
    CHECK_FALSE(SentAt({{"second"}, now + step}, kSelf, now));
  }
}

TEST_CASE("the proofs of peers over several boots of the machine") {
  CHECK(rc::check("are never newer than the message that they answer", [] {
    struct Sent {
      ReturnedStamp stamp;
      int64_t real_ms = 0;
    };
    std::vector<Sent> sent;
    int64_t real_ms = 0;
    int64_t booted_ms = 0;
    ProcessRun self{{"run0"}, Instant() + Milliseconds(1)};
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
      real_ms += *rc::gen::inRange(1, 3000);
      const bool restarts = *rc::gen::inRange(0, 6) == 0;
      if (restarts && *rc::gen::arbitrary<bool>()) {
        booted_ms = real_ms;
        real_ms += *rc::gen::inRange(1, 2000);
      }
      const Instant now = Instant() + Milliseconds(real_ms - booted_ms);
      if (restarts) {
        self = {{"run" + std::to_string(i)}, now};
      }
      sent.push_back({{self.boot, now}, real_ms});
      const Sent& answered = sent[*rc::gen::inRange<size_t>(0, sent.size())];
      const auto proven = SentAt(answered.stamp, self, now);
      if (proven.has_value()) {
        const int64_t age_ms = base::ToMilliseconds(now - *proven);
        RC_ASSERT(age_ms >= real_ms - answered.real_ms);
      }
    }
  }));
}

}  // namespace carawayvalve::core
