// Guards against peers whose messages go on without end and take a process over
// its memory, with all that it has in hand.
#include <doctest/doctest.h>

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "carawayvalve/net/http_client.h"
#include "carawayvalve/net/http_server.h"
#include "loop_thread.h"
#include "raw_caller.h"

namespace carawayvalve::net {

namespace {

constexpr size_t kEndlessBytes = size_t{2} * 1024 * 1024;
constexpr char kChunkedHead[] = "Transfer-Encoding: chunked\r\n\r\n";

struct EndlessPart {
  std::string name;
  std::string bytes;
};

// Parts of a chunked body whose end never comes.
std::vector<EndlessPart> EndlessParts() {
  const std::string run(kEndlessBytes, '0');
  std::string trailers = "0\r\n";
  while (trailers.size() < kEndlessBytes) {
    trailers += "X-Trailer: value\r\n";
  }
  return {{"a chunk extension", "5;" + run},
          {"the digits of a chunk's size", run},
          {"a trailer", "0\r\nX-Trailer: " + run},
          {"trailers", trailers}};
}

// Returns the failure of a call to the server, nothing if it doesn't fail.
std::optional<CallFailed> FailureOf(const systems::AnswerServer& server,
                                    const CallOptions& options = {}) {
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  Timer end(loop);
  end.Start(std::chrono::seconds(2), [&] { loop.Stop(); });
  std::optional<CallFailed> failure;
  const auto call =
      client.Start(base::ParseAddress(server.Address()), {"GET", "/x", {}, ""},
                   options, [&](const CallEvent& event) {
                     if (const auto* failed = std::get_if<CallFailed>(&event)) {
                       failure = *failed;
                       loop.Stop();
                     }
                   });
  loop.Run();
  return failure;
}

// A server that answers each request with its path, and shares a budget.
struct BudgetServer {
  explicit BudgetServer(size_t budget_bytes)
      : budget(std::make_shared<base::ByteBudget>(budget_bytes)),
        server(this->loop, {"127.0.0.1", 0}, [this](const auto& exchange) {
          this->bodies.push_back(exchange->request().body.size());
          exchange->Respond({{200, {}}, this->answer});
        }) {
    this->server.SetBudget(this->budget);
  }

  EventLoop loop;
  std::shared_ptr<base::ByteBudget> budget;
  std::string answer = "done";
  std::vector<size_t> bodies;
  HttpServer server;
};

std::string PostHead(size_t body_bytes) {
  return "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n";
}

}  // namespace

TEST_CASE("a response that goes on without end fails its call") {
  for (const EndlessPart& part : EndlessParts()) {
    CAPTURE(part.name);
    const systems::AnswerServer server(
        {{"HTTP/1.1 200 OK\r\n" + std::string(kChunkedHead) + part.bytes,
          true}});
    CHECK(FailureOf(server).has_value());
  }
}

TEST_CASE("other responses that go on without end fail a call") {
  CallOptions options;
  options.echo = {"X-Id", "mine"};
  for (const std::string& other :
       {std::string("HTTP/1.1 100 Continue\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: "
                    "2\r\n\r\nok")}) {
    CAPTURE(other);
    std::string run;
    while (run.size() < kEndlessBytes) {
      run += other;
    }
    const systems::AnswerServer server({{run, true}});
    CHECK(FailureOf(server, options).has_value());
  }
}

TEST_CASE("a response whose body is longer than the call allows fails it") {
  CallOptions options;
  options.max_body_bytes = 1000;
  for (const std::string& framing :
       {std::string("Content-Length: 2097152\r\n\r\n"),
        kChunkedHead + std::string("200000\r\n"), std::string("\r\n")}) {
    CAPTURE(framing);
    const systems::AnswerServer server(
        {{"HTTP/1.1 200 OK\r\n" + framing + std::string(kEndlessBytes, 'x'),
          true}});
    CHECK(FailureOf(server, options).has_value());
  }
}

TEST_CASE("responses that are small enough each are too much together") {
  constexpr size_t kBudget = size_t{1024} * 1024;
  constexpr int kCalls = 4;
  // Two of them fit beside the sound one.
  const std::string part(kBudget / 2 - 4, 'x');
  const systems::AnswerServer endless(std::vector<systems::Reply>(
      kCalls,
      {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + part, true}));
  const systems::AnswerServer sound(
      {{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true}});
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  const auto budget = std::make_shared<base::ByteBudget>(kBudget);
  client.SetBudget(budget);
  CallOptions options;
  options.whole_body = true;
  Timer end(loop);
  end.Start(std::chrono::seconds(2), [&] { loop.Stop(); });
  int too_large = 0;
  std::string whole;
  std::vector<std::unique_ptr<Call>> calls;
  calls.reserve(kCalls + 1);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(client.Start(
        base::ParseAddress(endless.Address()), {"GET", "/x", {}, ""}, options,
        [&](const CallEvent& event) {
          const auto* failed = std::get_if<CallFailed>(&event);
          too_large += failed != nullptr && failed->too_large ? 1 : 0;
          CHECK(!std::holds_alternative<CallBody>(event));
          CHECK(budget->used() <= kBudget);
        }));
  }
  calls.push_back(
      client.Start(base::ParseAddress(sound.Address()), {"GET", "/x", {}, ""},
                   options, [&](const CallEvent& event) {
                     if (const auto* body = std::get_if<CallBody>(&event)) {
                       whole += body->data;
                     }
                   }));
  loop.Run();
  CHECK(whole == "done");
  CHECK(too_large == kCalls - 2);
  calls.clear();
  CHECK(budget->used() == 0);
}

TEST_CASE("a request that goes on without end is rejected") {
  for (const EndlessPart& part : EndlessParts()) {
    CAPTURE(part.name);
    BudgetServer server(size_t{64} * 1024 * 1024);
    std::string answer;
    RunWhile(server.loop, [&] {
      RawCaller caller(server.server.port());
      caller.Send("POST /x HTTP/1.1\r\nHost: a\r\n" +
                  std::string(kChunkedHead) + part.bytes);
      answer = caller.ReadUntil("\r\n\r\n");
    });
    CHECK(answer.starts_with("HTTP/1.1 431 "));
    CHECK(server.bodies.empty());
  }
}

TEST_CASE("requests that are small enough each are too much together") {
  BudgetServer server(300'000);
  std::string large_answer;
  std::string small_answer;

  SUBCASE("the caller of the largest is told to come back") {
    RunWhile(server.loop, [&] {
      RawCaller large(server.server.port());
      large.Send(PostHead(400'000) + std::string(200'000, 'x'));
      RawCaller small(server.server.port());
      small.Send(PostHead(150'000) + std::string(140'000, 'x'));
      large_answer = large.ReadUntil("\r\n\r\n");
      small.Send(std::string(10'000, 'x'));
      small_answer = small.ReadAll();
    });
    CHECK(large_answer.starts_with("HTTP/1.1 503 "));
    CHECK(large_answer.find("Retry-After: ") != std::string::npos);
    CHECK(small_answer.starts_with("HTTP/1.1 200 "));
    CHECK(server.bodies == std::vector<size_t>{150'000});
  }
  SUBCASE("what is being answered is kept") {
    std::vector<std::shared_ptr<Exchange>> held;
    HttpServer holding(server.loop, {"127.0.0.1", 0},
                       [&](const auto& exchange) { held.push_back(exchange); });
    holding.SetBudget(server.budget);
    RunWhile(server.loop, [&] {
      RawCaller first(holding.port());
      first.Send(PostHead(250'000) + std::string(250'000, 'x'));
      std::this_thread::sleep_for(base::Milliseconds(200));
      RawCaller second(server.server.port());
      second.Send(PostHead(100'000) + std::string(90'000, 'x'));
      small_answer = second.ReadUntil("\r\n\r\n");
      server.loop.Post([&] {
        for (const auto& exchange : held) {
          exchange->Respond({{200, {}}, "done"});
        }
        held.clear();
      });
      large_answer = first.ReadAll();
    });
    CHECK(small_answer.starts_with("HTTP/1.1 503 "));
    CHECK(large_answer.starts_with("HTTP/1.1 200 "));
  }
  CHECK(server.budget->dropped() == 1);
}

TEST_CASE("a caller that doesn't read a large answer loses it to others") {
  // More than the system buffers for a connection.
  constexpr size_t kAnswerBytes = size_t{64} * 1024 * 1024;
  constexpr size_t kBudgetBytes = 2 * kAnswerBytes;
  BudgetServer server(kBudgetBytes);
  server.answer = std::string(kAnswerBytes, 'x');
  base::ByteBudget::Buffer other(server.budget, [] {});
  size_t read_late = 0;
  size_t read_at_once = 0;
  RunWhile(server.loop, [&] {
    RawCaller idle(server.server.port());
    idle.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(base::Milliseconds(300));
    std::promise<void> filled;
    server.loop.Post([&] {
      other.Resize(kBudgetBytes, false);
      other.Resize(0);
      filled.set_value();
    });
    filled.get_future().wait();
    read_late = idle.ReadAll().size();
    RawCaller reader(server.server.port());
    reader.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    read_at_once = reader.ReadAll().size();
  });
  CHECK(server.budget->dropped() == 1);
  CHECK(read_late < kAnswerBytes);
  CHECK(read_at_once > kAnswerBytes);
}

}  // namespace carawayvalve::net
