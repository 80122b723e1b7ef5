// Guards against messages whose heads are short and whose fields need many
// times as much, which no budget counts.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "carawayvalve/base/process_memory.h"
#include "carawayvalve/net/http_client.h"
#include "carawayvalve/net/http_server.h"
#include "loop_thread.h"
#include "raw_caller.h"

namespace carawayvalve::net {

namespace {

// What the connections of a test may need together: a sixteenth of a gateway's
// 260 MB.
constexpr int64_t kMaxGrowth = int64_t{16} * 1024 * 1024;

std::string SmallFields(size_t bytes) {
  std::string fields;
  while (fields.size() < bytes) {
    fields += "a:\r\n";
  }
  return fields;
}

// Returns by how much the process grows while a server holds the heads of many
// callers, each within its limit.
int64_t GrowthByHeads(const std::string& fields) {
  constexpr int kCallers = 300;
  EventLoop loop;
  std::vector<std::shared_ptr<Exchange>> held;
  HttpServer server(loop, {"127.0.0.1", 0},
                    [&](const auto& exchange) { held.push_back(exchange); });
  server.SetBudget(std::make_shared<base::ByteBudget>(kMaxGrowth));
  const std::string request = "POST /x HTTP/1.1\r\nHost: a\r\n" + fields +
                              SmallFields(size_t{15} * 1024) + "\r\n";
  const int64_t before = base::ResidentBytes();
  int64_t after = 0;
  RunWhile(loop, [&] {
    std::vector<std::unique_ptr<RawCaller>> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawCaller>(server.port()));
      callers.back()->Send(request);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    after = base::ResidentBytes();
  });
  return after - before;
}

}  // namespace

TEST_CASE(
    "responses whose heads have too many fields fail, and leave nothing") {
  constexpr int kConnections = 64;
  const systems::AnswerServer server(std::vector<systems::Reply>(
      kConnections, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" +
                         SmallFields(size_t{60} * 1024) + "\r\nok",
                     true}));
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(60));
  const auto budget = std::make_shared<base::ByteBudget>(kMaxGrowth);
  client.SetBudget(budget);
  CallOptions options;
  options.whole_body = true;
  options.connect_timeout = std::chrono::seconds(20);
  Timer end(loop);
  end.Start(std::chrono::seconds(40), [&] { loop.Stop(); });
  const int64_t before = base::ResidentBytes();
  int failed = 0;
  std::vector<std::unique_ptr<Call>> calls;
  calls.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    calls.push_back(client.Start(
        base::ParseAddress(server.Address()), {"GET", "/x", {}, ""}, options,
        [&](const CallEvent& event) {
          failed += std::holds_alternative<CallFailed>(event) ? 1 : 0;
          if (failed == kConnections) {
            loop.Stop();
          }
        }));
  }
  loop.Run();
  CHECK(failed == kConnections);
  CHECK(client.idle_connections() == 0);
  CHECK(base::ResidentBytes() - before < kMaxGrowth);
}

TEST_CASE("heads whose bodies are read count against the budget") {
  CHECK(GrowthByHeads("Content-Length: 2\r\n") < kMaxGrowth);
}

TEST_CASE("heads that are answered count against the budget") {
  CHECK(GrowthByHeads("") < kMaxGrowth);
}

}  // namespace carawayvalve::net
