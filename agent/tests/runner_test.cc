#include "runner.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <thread>

#include "../../systems/tests/answer_server.h"
#include "attempt_service.h"
#include "carawayvalve/core/answer_stream.h"

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

Job MakePlainCall(const std::string& name) {
  Job job = MakeGeneration(name);
  job.call = PlainJob{"GET", "/events", {}, ""};
  return job;
}

// Returns the attempt's records, or nothing unless it ends within the test's
// time.
std::optional<std::string> RecordsOf(AttemptService& service,
                                     const base::AttemptId& attempt) {
  const base::Instant until = base::Now() + kTestTimeout;
  std::string records;
  while (base::Now() < until) {
    const auto offset = static_cast<int64_t>(records.size());
    for (const AttemptUpdate& update :
         service.Read(kEntry, {{attempt, offset, 1000}}, kTestTimeout)) {
      records += update.view.bytes;
      if (update.view.last) {
        return records;
      }
    }
  }
  return std::nullopt;
}

bool WaitForEnd(AttemptService& service, const base::AttemptId& attempt) {
  return RecordsOf(service, attempt).has_value();
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

// Guards against a caller who gets another caller's answer, or is told that a
// request hasn't run that has.
TEST_CASE("Runner: a plain service writes its earlier answer once more") {
  AttemptService service({.slots = 1,
                          .max_queued_per_account = 10,
                          .retention = kLongTime,
                          .on_crash = {}});
  // Sends two requests, of which the server answers the first so. Returns the
  // records of the second.
  const auto run = [&](const systems::Reply& first) {
    systems::Reply second = systems::JsonReply(200, "second");
    systems::AnswerServer backend(
        [&, asked = 0](int connection, const std::string&) mutable {
          if (asked++ == 0) {
            return first;
          }
          return systems::Reply{
              (connection == 1 ? first.bytes : "") + second.bytes, true};
        });
    std::thread runner([&] { Runner(service, backend.Address()).Run(); });
    std::optional<std::string> records;
    for (const char* name : {"a", "b"}) {
      service.Submit(MakePlainCall(name));
      records = RecordsOf(service, {name});
    }
    service.Close();
    runner.join();
    return records.value_or("");
  };
  const std::string wanted = core::EncodeRecord(core::AnswerChunk{"second"}) +
                             core::EncodeRecord(core::AnswerEnd{});

  SUBCASE("the answer to another caller's request") {
    CHECK(run(systems::JsonReply(200, "first")).ends_with(wanted));
  }
  SUBCASE("the refusal of another request") {
    CHECK(run(systems::JsonReply(503, "")).ends_with(wanted));
  }
}

// A crash may close a connection in order, which also ends an answer that has
// neither a length nor chunks.
TEST_CASE("Runner: a plain service's event stream ends early") {
  AttemptService service({.slots = 1,
                          .max_queued_per_account = 10,
                          .retention = kLongTime,
                          .on_crash = {}});
  const auto run = [&](const std::string& head, const std::string& body) {
    systems::AnswerServer backend(
        {{"HTTP/1.1 200 OK\r\n" + head + "\r\n" + body, false}});
    REQUIRE(service.Submit(MakePlainCall("a")).accepted);
    std::thread runner([&] { Runner(service, backend.Address()).Run(); });
    const bool has_ended = WaitForEnd(service, {"a"});
    service.Close();
    runner.join();
    REQUIRE(has_ended);
  };
  const std::string type = "Content-Type: text/event-stream\r\n";

  SUBCASE("inside an event, with its connection") {
    run(type, "data: a\n\ndata: b");
    CHECK(service.totals().broken_off == 1);
    CHECK(service.RecentCrashes().size() == 1);
  }
  SUBCASE("inside an event, with its last chunk") {
    run(type + "Transfer-Encoding: chunked\r\n",
        "9\r\ndata: a\n\n\r\n7\r\ndata: b\r\n0\r\n\r\n");
    CHECK(service.totals().broken_off == 1);
  }
  SUBCASE("before the first event, with its connection") {
    run(type, "");
    CHECK(service.totals().broken_off == 1);
  }
  SUBCASE("after an event it is complete") {
    run(type, "data: a\n\ndata: b\n\n");
    CHECK(service.totals().answered == 1);
  }
  SUBCASE("other content is complete") {
    run("Content-Type: text/plain\r\n", "data: a");
    CHECK(service.totals().answered == 1);
  }
}

// Contents counted as the cause, and were refused for ten minutes after two.
TEST_CASE("Runner: an answer that can't be read is no crash") {
  AttemptService service({.slots = 1,
                          .max_queued_per_account = 10,
                          .retention = kLongTime,
                          .on_crash = {}});
  const auto run = [&](const Job& job, const std::string& answer) {
    systems::AnswerServer backend({{answer, true}});
    REQUIRE(service.Submit(job).accepted);
    std::thread runner([&] { Runner(service, backend.Address()).Run(); });
    const bool has_ended = WaitForEnd(service, {"a"});
    service.Close();
    runner.join();
    REQUIRE(has_ended);
  };
  const std::string without_end(size_t{2} * 1024 * 1024, 'a');
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n";

  SUBCASE("given a line without end of an engine") {
    run(MakeGeneration("a"), chunks + without_end + "\r\n");
  }
  SUBCASE("given lines of an engine that aren't JSON") {
    run(MakeGeneration("a"), chunks + "noise\n" + without_end);
  }
  SUBCASE("given a refusal without end of an engine") {
    run(MakeGeneration("a"),
        "HTTP/1.1 503 Busy\r\nContent-Length: 4000000\r\n\r\n" + without_end);
  }
  SUBCASE("given a header without end of an engine") {
    run(MakeGeneration("a"), "HTTP/1.1 200 OK\r\nX-Other: " + without_end);
  }
  SUBCASE("given headers without end of a plain service") {
    std::string fields;
    while (fields.size() < without_end.size()) {
      fields += "X-Other: value\r\n";
    }
    run(MakePlainCall("a"), "HTTP/1.1 200 OK\r\n" + fields);
  }
  CHECK(service.totals().broken_off == 1);
  CHECK(service.RecentCrashes().empty());
}

// A crash may close the connection in order, in the middle of a line.
TEST_CASE("Runner: a line of an engine that its connection cuts is a crash") {
  AttemptService service({.slots = 1,
                          .max_queued_per_account = 10,
                          .retention = kLongTime,
                          .on_crash = {}});
  systems::AnswerServer engine(
      {{"HTTP/1.1 200 OK\r\n\r\n{\"text\":\"a\"}\n{\"te", false}});
  REQUIRE(service.Submit(MakeGeneration("a")).accepted);
  std::thread runner([&] { Runner(service, engine.Address()).Run(); });
  const bool has_ended = WaitForEnd(service, {"a"});
  service.Close();
  runner.join();
  CHECK(has_ended);
  CHECK(service.RecentCrashes().size() == 1);
}

}  // namespace carawayvalve::agent
