// proof 11: A non-idempotent request runs at most once.

#include "carawayvalve/core/claim_flow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using base::Instant;
using base::Milliseconds;

const Instant kStart;

ClaimOptions MakeOptions(const std::string& nonce,
                     const std::string& body_digest = "body") {
  return {.writer = {"w" + nonce},
          .nonce = nonce,
          .body_digest = body_digest,
          .deadline = kStart + std::chrono::hours(1)};
}

StoredAnswer MakeAnswer(const std::string& body) {
  return {AnswerHead{201, {{"x", "\xff"}}}, body, {"stop", 1, 2, 3}};
}

// The store, and the calls of it that are under way.
class Store {
 public:
  ClaimRead Read() const { return {this->object, this->version, false}; }

  ClaimWritten Write(const WriteClaim& write) {
    if (write.if_version != this->version) {
      return {false, 0};
    }
    this->object = DecodeClaim(EncodeClaim(write.object));
    this->version = ++this->revision;
    return {true, this->version};
  }

  std::optional<ClaimObject> object;

 private:
  int64_t version = 0;
  int64_t revision = 0;
};

// One call by a caller, with what its flow has asked for.
struct Caller {
  Caller(const std::string& nonce, Instant now)
      : flow(MakeOptions(nonce)), name(nonce) {
    this->Take(this->flow.Begin(now));
  }

  void Take(const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions) {
      if (const auto* write = std::get_if<WriteClaim>(&action)) {
        this->write = *write;
      } else if (std::holds_alternative<ReadClaim>(action)) {
        this->reads = true;
      } else if (std::holds_alternative<RunRequest>(action)) {
        RC_ASSERT(!this->ran);
        this->ran = this->running = true;
      } else {
        this->answers.push_back(action);
      }
    }
    // A caller gets one final answer, and none while its request runs.
    RC_ASSERT(this->answers.size() + (this->ran ? 1 : 0) <= 1U);
  }

  void Tell(const ClaimEvent& event, Instant now) {
    this->Take(this->flow.Step(event, now));
  }

  ClaimFlow flow;
  std::string name;
  std::optional<WriteClaim> write;
  bool reads = false;
  bool ran = false;
  bool running = false;
  std::vector<ClaimAction> answers;
};

// Several calls with one key, under losses and delays of their writes.
class World {
 public:
  void Step(uint8_t kind, uint8_t number) {
    this->now += Milliseconds(10 * number);
    if (kind % 8 == 0 && this->callers.size() < 6) {
      this->callers.push_back(std::make_unique<Caller>(
          std::to_string(this->callers.size()), this->now));
      return;
    }
    if (kind % 8 == 1 && !this->under_way.empty()) {
      this->ApplyLate(number);
      return;
    }
    if (this->callers.empty()) {
      return;
    }
    Caller& caller = *this->callers[number % this->callers.size()];
    switch (kind % 8) {
      case 2:
      case 3:
        this->Answer(caller);
        break;
      case 4:
        this->Lose(caller, (number & 8) != 0, (number & 16) != 0);
        break;
      case 5:
        this->End(caller, (number & 8) != 0);
        break;
      case 6:
        caller.Tell(ClaimCallerDisconnected{}, this->now);
        break;
      default:
        caller.Tell(ClaimTimePassed{}, this->now);
    }
    this->Check();
  }

  // Lets everything come to its end without further losses, and lost writes
  // arrive only then.
  void Settle() {
    for (int round = 0; round < 100; ++round) {
      this->now += std::chrono::seconds(6);
      for (const auto& caller : this->callers) {
        this->End(*caller, true);
        this->Answer(*caller);
        caller->Tell(ClaimTimePassed{}, this->now);
        this->Check();
      }
    }
    for (const auto& caller : this->callers) {
      RC_ASSERT(caller->flow.done());
    }
    while (!this->under_way.empty()) {
      this->ApplyLate(0);
    }
    RC_ASSERT(!this->store.object ||
              this->store.object->state != ClaimState::kClaimed);
  }

 private:
  void Answer(Caller& caller) {
    if (caller.write) {
      const WriteClaim write = *caller.write;
      caller.write.reset();
      caller.Tell(this->store.Write(write), this->now);
    } else if (caller.reads) {
      caller.reads = false;
      caller.Tell(this->store.Read(), this->now);
    }
  }

  void Lose(Caller& caller, bool sent, bool late) {
    if (caller.write) {
      const WriteClaim write = *caller.write;
      caller.write.reset();
      if (sent && late) {
        this->under_way.push_back(write);
      } else if (sent) {
        this->store.Write(write);
      }
      caller.Tell(
          sent ? ClaimEvent(ClaimWriteLost{}) : ClaimEvent(ClaimWriteNotSent{}),
          this->now);
    } else if (caller.reads) {
      caller.reads = false;
      caller.Tell(ClaimReadFailed{}, this->now);
    }
  }

  void ApplyLate(uint8_t number) {
    const auto write = this->under_way.begin() +
                       static_cast<int>(number % this->under_way.size());
    this->store.Write(*write);
    this->under_way.erase(write);
  }

  void End(Caller& caller, bool finished) {
    if (!caller.running) {
      return;
    }
    caller.running = false;
    if (finished) {
      RC_ASSERT(!this->finisher);
      this->finisher = caller.name;
      caller.Tell(ClaimedRequestFinished{MakeAnswer(caller.name), ""},
                  this->now);
    } else {
      caller.Tell(ClaimedRequestNotRun{}, this->now);
    }
  }

  void Check() {
    int running = this->finisher ? 1 : 0;
    for (const auto& caller : this->callers) {
      running += caller->running ? 1 : 0;
      for (const ClaimAction& answer : caller->answers) {
        if (const auto* replay = std::get_if<ReplayAnswer>(&answer)) {
          RC_ASSERT(this->finisher.has_value());
          RC_ASSERT(replay->answer == MakeAnswer(*this->finisher));
        }
      }
    }
    RC_ASSERT(running <= 1);
  }

  Store store;
  Instant now;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<WriteClaim> under_way;
  std::optional<std::string> finisher;
};

}  // namespace

TEST_CASE("Claims are stored as they were written") {
  CHECK(rc::check("any bytes come back", [](const std::string& bytes) {
    ClaimObject claim{.writer = {bytes},
                      .nonce = bytes,
                      .body_digest = bytes,
                      .state = ClaimState::kFinished,
                      .whole = true,
                      .answer = MakeAnswer(bytes),
                      .reason = bytes};
    claim.answer->end.finish_reason = bytes;
    RC_ASSERT(DecodeClaim(EncodeClaim(claim)) == claim);
  }));
  CHECK(rc::check("garbage throws base::Error", [](const std::string& text) {
    RC_ASSERT_THROWS_AS(DecodeClaim(text), base::Error);
  }));
  CHECK(ClaimName({"a"}, "bc") != ClaimName({"ab"}, "c"));
  CHECK(RecordsOf(MakeAnswer("x")).size() == 3);
}

TEST_CASE("ClaimFlow") {
  Store store;
  ClaimFlow first(MakeOptions("1"));
  const auto writes = first.Begin(kStart);
  REQUIRE(writes.size() == 1);
  const WriteClaim create = std::get<WriteClaim>(writes[0]);
  const std::vector<ClaimAction> run = {RunRequest{}};
  const std::vector<ClaimAction> read = {ReadClaim{}};
  const auto answer_to_second = [&](const std::string& body_digest) {
    ClaimFlow second(MakeOptions("2", body_digest));
    second.Begin(kStart);
    CHECK(second.Step(ClaimWritten{false, 0}, kStart) == read);
    return second.Step(store.Read(), kStart).at(0);
  };
  const auto refusal_of = [](const ClaimAction& action) {
    return std::get<RefuseRequest>(action).refusal;
  };

  SUBCASE("a claim that is held lets the request run") {
    REQUIRE(first.Step(store.Write(create), kStart) == run);

    SUBCASE("a second call meanwhile is told that it is in progress") {
      CHECK(refusal_of(answer_to_second("body")) == ClaimRefusal::kInProgress);
    }
    SUBCASE("another request with the key is refused") {
      CHECK(refusal_of(answer_to_second("x")) == ClaimRefusal::kRequestMismatch);
    }
    SUBCASE("a second call afterwards gets the same answer") {
      const auto stored =
          first.Step(ClaimedRequestFinished{MakeAnswer("a"), ""}, kStart);
      const auto written = store.Write(std::get<WriteClaim>(stored.at(0)));
      first.Step(written, kStart);
      CHECK(first.done());
      CHECK(answer_to_second("body") ==
            ClaimAction(ReplayAnswer{MakeAnswer("a")}));
    }
    SUBCASE("a claim whose writer is gone is an unknown outcome") {
      ClaimFlow second(MakeOptions("2"));
      second.Begin(kStart);
      second.Step(ClaimWritten{false, 0}, kStart);
      ClaimRead event = store.Read();
      event.writer_terminated = true;
      CHECK(refusal_of(second.Step(event, kStart).at(0)) ==
            ClaimRefusal::kUnknownOutcome);
    }
    SUBCASE("an answer that is too long isn't kept, but that it ran is") {
      const std::string body(600 * 1024, 'x');
      const auto stored =
          first.Step(ClaimedRequestFinished{MakeAnswer(body), ""}, kStart);
      store.Write(std::get<WriteClaim>(stored.at(0)));
      CHECK(refusal_of(answer_to_second("body")) ==
            ClaimRefusal::kAnswerNotKept);
    }
    SUBCASE("a request that wasn't run may be taken over") {
      const auto stored = first.Step(ClaimedRequestNotRun{}, kStart);
      store.Write(std::get<WriteClaim>(stored.at(0)));
      const auto takeover = std::get<WriteClaim>(answer_to_second("body"));

      SUBCASE("by one call") {
        CHECK(store.Write(takeover).done);
        CHECK(store.object->nonce == "2");
      }
      SUBCASE("and one that was lost and given up can't take effect later") {
        ClaimFlow third(MakeOptions("3"));
        third.Begin(kStart);
        third.Step(ClaimWritten{false, 0}, kStart);
        const auto lost = third.Step(store.Read(), kStart);
        third.Step(ClaimWriteLost{}, kStart);
        const Instant late = kStart + std::chrono::seconds(2);
        third.Step(ClaimTimePassed{}, late);
        const auto release = third.Step(store.Read(), late);
        REQUIRE(release.size() == 1);
        third.Step(store.Write(std::get<WriteClaim>(release[0])), late);
        CHECK(third.done());
        CHECK_FALSE(store.Write(std::get<WriteClaim>(lost.at(0))).done);
      }
    }
  }
  SUBCASE("a lost answer is settled by reading back") {
    store.Write(create);
    REQUIRE(first.Step(ClaimWriteLost{}, kStart) == read);
    CHECK(first.Step(store.Read(), kStart) == run);
  }
  SUBCASE("without the store the call is refused as not run at once") {
    const auto refused = first.Step(ClaimWriteNotSent{}, kStart);
    REQUIRE(refused.size() == 1);
    CHECK(refusal_of(refused[0]) == ClaimRefusal::kNotRun);
    CHECK(first.done());
  }
  SUBCASE("a claim that can't be settled is refused and released later") {
    store.Write(create);
    first.Step(ClaimWriteLost{}, kStart);
    first.Step(ClaimReadFailed{}, kStart);
    const Instant late = kStart + std::chrono::seconds(2);
    CHECK(first.wake_at() <= late);
    const auto refused = first.Step(ClaimTimePassed{}, late);
    REQUIRE(refused.size() == 1);
    CHECK(refusal_of(refused[0]) == ClaimRefusal::kNotRun);
    CHECK_FALSE(first.done());
    REQUIRE(first.Step(ClaimTimePassed{}, *first.wake_at()) == read);
    const auto release = first.Step(store.Read(), late);
    first.Step(store.Write(std::get<WriteClaim>(release.at(0))), late);
    CHECK(first.done());
    CHECK(store.object->state == ClaimState::kNotRun);
  }
}

TEST_CASE("Calls with one key") {
  CHECK(rc::check(
      "at most one runs, whatever is lost or late, and no claim is left behind",
      [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
        World world;
        for (const auto& [kind, number] : steps) {
          world.Step(kind, number);
        }
        world.Settle();
      }));
}

}  // namespace carawayvalve::core
