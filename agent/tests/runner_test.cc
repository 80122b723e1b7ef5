#include "runner.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "../../systems/tests/answer_server.h"
#include "attempt_service.h"

namespace carawayvalve::agent {

namespace {

constexpr std::chrono::hours kLongTime{1};
// Bounds the waits of a test; only a faulty run reaches it.
constexpr base::Milliseconds kTestTimeout{30000};
const base::BootId kEntry{"an entry process"};
// An incomplete answer: the generation goes on after its first line.
const systems::Reply kFirstLine{
    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"text\":\"a\"}\n", true};

Job MakeGeneration(const std::string& name) {
  Job job;
  job.attempt = {name};
  job.entry_boot = kEntry;
  job.client_account = {"guild"};
  job.deadline = base::Now() + kLongTime;
  job.content_digest = "content of " + name;
  job.call = ModelJob{systems::Generation{.id = name}};
  return job;
}

}  // namespace

TEST_CASE("Runner: a generation is cancelled while it runs") {
  AttemptService service({.slots = 1,
                          .max_queued_per_account = 10,
                          .retention = kLongTime,
                          .on_crash = {}});
  REQUIRE(service.Submit(MakeGeneration("a")).accepted);
  const auto cancel_at = [&](systems::AnswerServer& engine) {
    std::thread runner([&] { Runner(service, engine.Address()).Run(); });
    const bool has_begun = !service.Read(kEntry, {}, kTestTimeout).empty();
    service.Cancel({"a"});
    const bool has_ended = service.WaitUntilIdle(kTestTimeout);
    service.Close();
    runner.join();
    REQUIRE(has_begun);
    REQUIRE(has_ended);
    REQUIRE(engine.Requests().size() == 2);
    REQUIRE(engine.Requests()[1].starts_with("POST /cancel "));
  };

  SUBCASE("the engine answers the cancellation") {
    systems::AnswerServer engine({kFirstLine, systems::JsonReply(200, "{}")});
    cancel_at(engine);
    CHECK(service.totals().cancelled == 1);
    CHECK(service.RecentCrashes().empty());
  }
  SUBCASE("the engine gives no answer: no crash is recorded") {
    systems::AnswerServer engine({kFirstLine, systems::NoReply()});
    cancel_at(engine);
    CHECK(service.totals().cancelled == 1);
    CHECK(service.totals().broken_off == 0);
    CHECK(service.RecentCrashes().empty());
  }
}

}  // namespace carawayvalve::agent
