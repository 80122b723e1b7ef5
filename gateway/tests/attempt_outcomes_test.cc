// Guards against requests that are answered as not run and have run, whatever
// became of each of their attempts.
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using config::RequestKind;
using systems::AnswerServer;
using systems::Reply;

namespace {

constexpr size_t kMaxAttempts = 3;
// Of requests and gateways that end while an attempt waits for its answer.
constexpr base::Milliseconds kLongDeadline(3000);
constexpr base::Milliseconds kShortDeadline(300);
constexpr base::Milliseconds kStopAfter(100);
constexpr base::Milliseconds kTimeToStop(400);

// What a backend server makes of a request.
struct Behaviour {
  std::string name;
  bool runs = false;
  Reply reply;
};

Reply Answer(const std::string& status,
             const std::string& fields,
             const std::string& body = "") {
  return {"HTTP/1.1 " + status + "\r\nX-Request-Id: r1\r\n" + fields +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body,
          true};
}

std::string EventsHead() {
  return tests::AnswerHead("Content-Type: text/event-stream\r\n");
}

std::vector<Behaviour> Refusals() {
  const std::string not_run = tests::kNotRunLine;
  return {{"declined", false, Answer("503 Full", not_run)},
          {"declined with 429", false, Answer("429 Often", not_run)},
          {"misdirected", false, Answer("421 Misdirected", "")},
          {"declined, cut",
           false,
           {tests::RefusalHead("Content-Length: 9\r\n\r\n"), false}}};
}

std::vector<Behaviour> Runs() {
  return {
      {"no answer", true, systems::NoReply()},
      {"cut",
       true,
       {EventsHead() + "\r\n" + tests::StreamEvent("r1", 1) + "id: 2", false}},
      {"failed", true, Answer("500 Failed", tests::kSignatureLine)},
      {"unsigned 503", true, Answer("503 Failed", "")},
      {"unsigned 200", true, Answer("200 OK", "", "b")},
      {"answered", true,
       Answer("200 OK",
              std::string(tests::kSignatureLine) +
                  "Content-Type: text/event-stream\r\n",
              tests::StreamEvent("r1", 1))}};
}

config::ServingPlan PlanOf(RequestKind kind, bool resumable) {
  config::ServingPlan plan = NotesPlan(kMaxAttempts);
  ++plan.version;
  plan.routes.front().kind = kind;
  plan.routes.front().resumable = resumable;
  return plan;
}

// A request whose attempts meet these behaviours in turn, and the last of them
// again.
struct Drill {
  Drill(const std::vector<Behaviour>& behaviours,
        RequestKind kind,
        bool resumable,
        base::Milliseconds deadline = kLongDeadline,
        std::optional<base::Milliseconds> stop_after = std::nullopt)
      : behaviours(behaviours) {
    this->fixture.gateway.state.ApplyPlan(PlanOf(kind, resumable));
    this->fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    int number = 0;
    for (const AnswerServer* server : {&this->one, &this->two, &this->three}) {
      this->fixture.Add("engine" + std::to_string(++number),
                        base::ParseAddress(server->Address()).port,
                        EngineRole::kDecode);
    }
    this->fixture.Add(
        "unreachable",
        base::ParseAddress(systems::Listener(systems::kNotListening).Address())
            .port,
        EngineRole::kDecode);
    net::Timer stop(this->fixture.gateway.loop);
    if (stop_after.has_value()) {
      stop.Start(*stop_after, [this] {
        this->fixture.gateway.state.stop.Begin({}, kTimeToStop, base::Now());
        this->fixture.gateway.live_requests.NoteStop();
      });
    }
    // Short enough to be answered within a short deadline.
    net::Request request{
        "POST",
        "/notes/1",
        {{"Host", "shop.example"},
         {"X-Request-Id", "r1"},
         {tests::kTokenCountsField, "20,10"},
         {tests::kDeadlineField, std::to_string(deadline.count())}},
        "prompt"};
    this->fixture.SendRequest([](const std::string&) {}, request);
  }

  Reply Next() {
    const size_t index = this->arrivals++;
    const Behaviour& met =
        this->behaviours[std::min(index, this->behaviours.size() - 1)];
    this->run_count += met.runs ? 1 : 0;
    return met.reply;
  }

  bool IsRefused() const {
    return std::set<int>{408, 421, 429, 503}.contains(this->fixture.status);
  }

  const std::vector<Behaviour>& behaviours;
  std::atomic<size_t> arrivals = 0;
  std::atomic<int> run_count = 0;
  AnswerServer one{[this](int, const std::string&) { return this->Next(); }};
  AnswerServer two{[this](int, const std::string&) { return this->Next(); }};
  AnswerServer three{[this](int, const std::string&) { return this->Next(); }};
  RequestFixture fixture{kMaxAttempts, kSlackOfManyRetries};
};

// Meets all sequences of behaviours. Those that differ only in attempts that
// aren't made are met once.
void MeetAll(const std::vector<Behaviour>& all,
             RequestKind kind,
             bool resumable) {
  std::vector<size_t> chosen(kMaxAttempts, 0);
  size_t used = 1;
  while (used > 0) {
    std::vector<Behaviour> behaviours;
    std::string names;
    for (const size_t index : chosen) {
      behaviours.push_back(all[index]);
      names += all[index].name + ", ";
    }
    CAPTURE(names);
    const Drill drill(behaviours, kind, resumable);
    CAPTURE(drill.fixture.status);
    CHECK(drill.arrivals > 0);
    CHECK(drill.arrivals <= kMaxAttempts);
    CHECK_FALSE((drill.IsRefused() && drill.run_count > 0));
    // Any other request may be repeated while its answer is late.
    if (kind != RequestKind::kIdempotent && !resumable) {
      CHECK(drill.run_count <= 1);
      CHECK(drill.IsRefused() == (drill.run_count == 0));
    }
    used = std::min<size_t>(drill.arrivals, kMaxAttempts);
    std::fill(chosen.begin() + static_cast<ptrdiff_t>(used), chosen.end(), 0);
    while (used > 0 && ++chosen[used - 1] == all.size()) {
      chosen[--used] = 0;
    }
  }
}

}  // namespace

TEST_CASE("a request meets every sequence of ends of its attempts") {
  std::vector<Behaviour> all = Refusals();
  const std::vector<Behaviour> runs = Runs();
  all.insert(all.end(), runs.begin(), runs.end());

  SUBCASE("and may run once") {
    MeetAll(all, RequestKind::kNonIdempotent, false);
  }
  SUBCASE("and may run any number of times") {
    MeetAll(all, RequestKind::kIdempotent, false);
  }
  SUBCASE("as a stream") {
    MeetAll(all, RequestKind::kStream, false);
  }
  SUBCASE("as a stream that may be resumed") {
    MeetAll(all, RequestKind::kStream, true);
  }
}

TEST_CASE("a request's last attempt waits for an answer until its end") {
  const Behaviour silent = {"silent", true, {"", true}};
  std::vector<Behaviour> begun = Refusals();
  begun.push_back(Runs().front());
  const auto meet = [&](const std::vector<Behaviour>& behaviours) {
    for (const auto& [kind, resumable] :
         {std::pair(RequestKind::kNonIdempotent, false),
          std::pair(RequestKind::kIdempotent, false),
          std::pair(RequestKind::kStream, true)}) {
      const Drill late(behaviours, kind, resumable, kShortDeadline);
      CHECK(late.run_count > 0);
      CHECK_FALSE(late.IsRefused());
      const Drill stopped(behaviours, kind, resumable, kLongDeadline,
                          kStopAfter);
      CHECK(stopped.run_count > 0);
      CHECK_FALSE(stopped.IsRefused());
    }
  };
  meet({silent});
  for (const Behaviour& first : begun) {
    CAPTURE(first.name);
    meet({first, silent});
    meet({first, Refusals().front(), silent});
  }
}

// Guards against the status of a refusal that is passed on though its server
// doesn't say that the request wasn't run.
TEST_CASE("a server's own failure bears the status of a refusal") {
  for (const std::string& status :
       std::vector<std::string>{"408 Late", "429 Often", "503 Failed"}) {
    CAPTURE(status);
    const std::vector<Behaviour> failure = {
        {status, true, Answer(status, tests::kSignatureLine)}};
    for (const RequestKind kind :
         {RequestKind::kNonIdempotent, RequestKind::kStream}) {
      const Drill drill(failure, kind, false);
      CHECK(drill.run_count == 1);
      CHECK(drill.fixture.status == 502);
    }
  }
}

// Guards against a repeated refusal that is cut and takes the fields of the
// answer that follows.
TEST_CASE("a server repeats the beginning of a refusal") {
  const std::string line = tests::kNotRunLine;
  for (const std::string& beginning : std::vector<std::string>{
           "HTTP/1.1 421 Mis",
           "HTTP/1.1 503 Full\r\n" + line.substr(0, line.find('\r'))}) {
    CAPTURE(beginning);
    AnswerServer server(
        {{"HTTP/1.1 421 Misdirected\r\nX-Request-Id: r0\r\n"
          "Content-Length: 0\r\n\r\n",
          true},
         {beginning + Answer("200 OK", tests::kSignatureLine, "ran").bytes,
          true}});
    RequestFixture fixture(1);
    fixture.gateway.state.ApplyPlan(PlanOf(RequestKind::kNonIdempotent, false));
    fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    fixture.Add("engine", base::ParseAddress(server.Address()).port,
                EngineRole::kDecode);
    for (const std::string& id : std::vector<std::string>{"r0", "r1"}) {
      fixture.SendRequest([](const std::string&) {},
                          tests::PromptRequest("shop.example", "/notes/1", id));
    }
    CHECK(server.Requests().size() == 2);
    CHECK(fixture.status == 502);
  }
}

// Guards against a service whose servers are all paused after answers that
// another one has their addresses.
TEST_CASE("every server of a service declines one request as misdirected") {
  std::atomic<int> arrivals = 0;
  const auto respond = [&](int, const std::string& request) {
    Reply reply = Answer(++arrivals <= 2 ? "421 Misdirected" : "200 OK",
                         tests::kSignatureLine);
    const std::string id =
        request.find("r2") == std::string::npos ? "r1" : "r2";
    reply.bytes.replace(reply.bytes.find("r1"), 2, id);
    return reply;
  };
  AnswerServer one(respond);
  AnswerServer two(respond);
  RequestFixture fixture(kMaxAttempts, kSlackOfManyRetries);
  fixture.gateway.state.ApplyPlan(PlanOf(RequestKind::kNonIdempotent, false));
  fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
  fixture.Add("one", base::ParseAddress(one.Address()).port,
              EngineRole::kDecode);
  fixture.Add("two", base::ParseAddress(two.Address()).port,
              EngineRole::kDecode);
  const auto send = [&](const std::string& id) {
    fixture.SendRequest([](const std::string&) {},
                        tests::PromptRequest("shop.example", "/notes/1", id));
    return fixture.status;
  };
  CHECK(send("r1") == 503);
  CHECK(send("r2") == 200);
}

}  // namespace carawayvalve::gateway
