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

// An in-memory store of one claim with compare-and-swap writes.
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

// One caller's call, with the pending actions of its flow.
struct Caller {
  Caller(const std::string& nonce, Instant now)
      : flow(MakeOptions(nonce)), name(nonce) {
    this->Perform(this->flow.Begin(now));
  }

  void Perform(const std::vector<ClaimAction>& actions) {
    for (const ClaimAction& action : actions) {
      if (const auto* write = std::get_if<WriteClaim>(&action)) {
        this->write = *write;
      } else if (std::holds_alternative<ReadClaim>(action)) {
        this->read_pending = true;
      } else if (std::holds_alternative<RunRequest>(action)) {
        RC_ASSERT(!this->ran);
        this->ran = this->running = true;
      } else {
        this->answers.push_back(action);
      }
    }
    // A caller gets one final answer, and none if its request runs.
    RC_ASSERT(this->answers.size() + (this->ran ? 1 : 0) <= 1U);
  }

  void Notify(const ClaimEvent& event, Instant now) {
    this->Perform(this->flow.Step(event, now));
  }

  ClaimFlow flow;
  std::string name;
  std::optional<WriteClaim> write;
  bool read_pending = false;
  bool ran = false;
  bool running = false;
  std::vector<ClaimAction> answers;
};

// Simulates several calls with one key whose writes are lost or delayed.
class ClaimSimulation {
 public:
  void Step(uint8_t kind, uint8_t number) {
    this->now += Milliseconds(10 * number);
    if (kind % 8 == 0 && this->callers.size() < 6) {
      this->callers.push_back(std::make_unique<Caller>(
          std::to_string(this->callers.size()), this->now));
      return;
    }
    if (kind % 8 == 1 && !this->in_flight.empty()) {
      this->ApplyLateWrite(number);
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
        this->FailCall(caller, (number & 8) != 0, (number & 16) != 0);
        break;
      case 5:
        this->EndRequest(caller, (number & 8) != 0);
        break;
      case 6:
        caller.Notify(ClaimCallerDisconnected{}, this->now);
        break;
      default:
        caller.Notify(ClaimTick{}, this->now);
    }
    this->Check();
  }

  // Runs all calls to completion without further losses, then applies the
  // delayed writes.
  void Settle() {
    for (int round = 0; round < 100; ++round) {
      this->now += std::chrono::seconds(6);
      for (const auto& caller : this->callers) {
        this->EndRequest(*caller, true);
        this->Answer(*caller);
        caller->Notify(ClaimTick{}, this->now);
        this->Check();
      }
    }
    for (const auto& caller : this->callers) {
      RC_ASSERT(caller->flow.done());
    }
    while (!this->in_flight.empty()) {
      this->ApplyLateWrite(0);
    }
    RC_ASSERT(!this->store.object ||
              this->store.object->state != ClaimState::kClaimed);
  }

 private:
  void Answer(Caller& caller) {
    if (caller.write) {
      const WriteClaim write = *caller.write;
      caller.write.reset();
      caller.Notify(this->store.Write(write), this->now);
    } else if (caller.read_pending) {
      caller.read_pending = false;
      caller.Notify(this->store.Read(), this->now);
    }
  }

  void FailCall(Caller& caller, bool sent, bool late) {
    if (caller.write) {
      const WriteClaim write = *caller.write;
      caller.write.reset();
      if (sent && late) {
        this->in_flight.push_back(write);
      } else if (sent) {
        this->store.Write(write);
      }
      caller.Notify(sent ? ClaimEvent(ClaimWriteUncertain{})
                         : ClaimEvent(ClaimWriteNotSent{}),
                    this->now);
    } else if (caller.read_pending) {
      caller.read_pending = false;
      caller.Notify(ClaimReadFailed{}, this->now);
    }
  }

  void ApplyLateWrite(uint8_t number) {
    const auto write = this->in_flight.begin() +
                       static_cast<int>(number % this->in_flight.size());
    this->store.Write(*write);
    this->in_flight.erase(write);
  }

  void EndRequest(Caller& caller, bool finished) {
    if (!caller.running) {
      return;
    }
    caller.running = false;
    if (finished) {
      RC_ASSERT(!this->finished_caller);
      this->finished_caller = caller.name;
      caller.Notify(ClaimedRequestFinished{MakeAnswer(caller.name), ""},
                    this->now);
    } else {
      caller.Notify(ClaimedRequestNotRun{}, this->now);
    }
  }

  void Check() {
    int running = this->finished_caller ? 1 : 0;
    for (const auto& caller : this->callers) {
      running += caller->running ? 1 : 0;
      for (const ClaimAction& answer : caller->answers) {
        if (const auto* replay = std::get_if<ReplayAnswer>(&answer)) {
          RC_ASSERT(this->finished_caller.has_value());
          RC_ASSERT(replay->answer == MakeAnswer(*this->finished_caller));
        }
      }
    }
    RC_ASSERT(running <= 1);
  }

  Store store;
  Instant now;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<WriteClaim> in_flight;
  std::optional<std::string> finished_caller;
};

}  // namespace

TEST_CASE("Claims survive encoding and decoding") {
  CHECK(
      rc::check("arbitrary bytes are preserved", [](const std::string& bytes) {
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
  CHECK(rc::check("invalid input throws base::Error",
                  [](const std::string& text) {
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

    SUBCASE("a concurrent second call is refused as in progress") {
      CHECK(refusal_of(answer_to_second("body")) == ClaimRefusal::kInProgress);
    }
    SUBCASE("a different request with the same key is refused") {
      CHECK(refusal_of(answer_to_second("x")) ==
            ClaimRefusal::kRequestMismatch);
    }
    SUBCASE("a second call after the answer is stored gets the same answer") {
      const auto stored =
          first.Step(ClaimedRequestFinished{MakeAnswer("a"), ""}, kStart);
      const auto written = store.Write(std::get<WriteClaim>(stored.at(0)));
      first.Step(written, kStart);
      CHECK(first.done());
      CHECK(answer_to_second("body") ==
            ClaimAction(ReplayAnswer{MakeAnswer("a")}));
    }
    SUBCASE("a claim whose writer has terminated gives an unknown outcome") {
      ClaimFlow second(MakeOptions("2"));
      second.Begin(kStart);
      second.Step(ClaimWritten{false, 0}, kStart);
      ClaimRead event = store.Read();
      event.writer_terminated = true;
      CHECK(refusal_of(second.Step(event, kStart).at(0)) ==
            ClaimRefusal::kUnknownOutcome);
    }
    SUBCASE(
        "an answer that is too long isn't stored, but the fact that it ran "
        "is") {
      const std::string body(600 * 1024, 'x');
      const auto stored =
          first.Step(ClaimedRequestFinished{MakeAnswer(body), ""}, kStart);
      store.Write(std::get<WriteClaim>(stored.at(0)));
      CHECK(refusal_of(answer_to_second("body")) ==
            ClaimRefusal::kAnswerNotKept);
    }
    SUBCASE("the claim of a request that hasn't run may be taken over") {
      const auto stored = first.Step(ClaimedRequestNotRun{}, kStart);
      store.Write(std::get<WriteClaim>(stored.at(0)));
      const auto takeover = std::get<WriteClaim>(answer_to_second("body"));

      SUBCASE("by one call") {
        CHECK(store.Write(takeover).done);
        CHECK(store.object->nonce == "2");
      }
      SUBCASE(
          "and a takeover that was lost and abandoned can't take effect "
          "later") {
        ClaimFlow third(MakeOptions("3"));
        third.Begin(kStart);
        third.Step(ClaimWritten{false, 0}, kStart);
        const auto lost = third.Step(store.Read(), kStart);
        third.Step(ClaimWriteUncertain{}, kStart);
        const Instant late = kStart + std::chrono::seconds(2);
        third.Step(ClaimTick{}, late);
        const auto release = third.Step(store.Read(), late);
        REQUIRE(release.size() == 1);
        third.Step(store.Write(std::get<WriteClaim>(release[0])), late);
        CHECK(third.done());
        CHECK_FALSE(store.Write(std::get<WriteClaim>(lost.at(0))).done);
      }
    }
  }
  SUBCASE("a write whose answer was lost is settled by a read") {
    store.Write(create);
    REQUIRE(first.Step(ClaimWriteUncertain{}, kStart) == read);
    CHECK(first.Step(store.Read(), kStart) == run);
  }
  SUBCASE("a call whose write can't be sent is refused as not run at once") {
    const auto refused = first.Step(ClaimWriteNotSent{}, kStart);
    REQUIRE(refused.size() == 1);
    CHECK(refusal_of(refused[0]) == ClaimRefusal::kNotRun);
    CHECK(first.done());
  }
  SUBCASE("a claim that can't be settled is refused and released later") {
    store.Write(create);
    first.Step(ClaimWriteUncertain{}, kStart);
    first.Step(ClaimReadFailed{}, kStart);
    const Instant late = kStart + std::chrono::seconds(2);
    CHECK(first.wake_at() <= late);
    const auto refused = first.Step(ClaimTick{}, late);
    REQUIRE(refused.size() == 1);
    CHECK(refusal_of(refused[0]) == ClaimRefusal::kNotRun);
    CHECK_FALSE(first.done());
    REQUIRE(first.Step(ClaimTick{}, *first.wake_at()) == read);
    const auto release = first.Step(store.Read(), late);
    first.Step(store.Write(std::get<WriteClaim>(release.at(0))), late);
    CHECK(first.done());
    CHECK(store.object->state == ClaimState::kNotRun);
  }
}

TEST_CASE("Calls with one key") {
  CHECK(
      rc::check("at most one runs despite lost and late writes, and no claim "
                "is left held",
                [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
                  ClaimSimulation simulation;
                  for (const auto& [kind, number] : steps) {
                    simulation.Step(kind, number);
                  }
                  simulation.Settle();
                }));
}

}  // namespace carawayvalve::core
