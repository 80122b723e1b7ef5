// Guards against idle connections that hold the memory of what they carried,
// which no budget counts.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "carawayvalve/base/process_memory.h"
#include "carawayvalve/net/http_client.h"
#include "carawayvalve/net/http_server.h"
#include "loop_thread.h"
#include "raw_caller.h"

namespace carawayvalve::net {

namespace {

constexpr int kConnections = 64;
constexpr size_t kLargeBytes = size_t{1024} * 1024;
// A sixteenth of a gateway's 260 MB.
constexpr int64_t kMaxGrowth = int64_t{16} * 1024 * 1024;

}  // namespace

TEST_CASE("an idle connection holds nothing of the answer that it carried") {
  EventLoop loop;
  HttpServer server(loop, {"127.0.0.1", 0}, [](const auto& exchange) {
    exchange->Respond({{200, {}}, std::string(kLargeBytes, 'x') + "end"});
  });
  const auto budget = std::make_shared<base::ByteBudget>(kMaxGrowth);
  server.SetBudget(budget);
  base::ReturnLargeBlocks();
  const int64_t before = base::ResidentBytes();
  int64_t after = 0;
  RunWhile(loop, [&] {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < kConnections; ++i) {
      callers.push_back(std::make_unique<RawCaller>(server.port()));
      callers.back()->Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      callers.back()->ReadUntil("end");
    }
    after = base::ResidentBytes();
  });
  CHECK(budget->used() == 0);
  CHECK(after - before < kMaxGrowth);
}

TEST_CASE("an idle connection holds nothing of the request that it carried") {
  EventLoop loop;
  int done = 0;
  HttpServer server(loop, {"127.0.0.1", 0}, [&](const auto& exchange) {
    exchange->Respond({{200, {}}, std::to_string(++done)});
  });
  HttpClient client(loop, std::chrono::seconds(60));
  const Request request{"POST", "/x", {}, std::string(kLargeBytes, 'x')};
  base::ReturnLargeBlocks();
  const int64_t before = base::ResidentBytes();
  std::vector<std::unique_ptr<Call>> calls;
  int answered = 0;
  for (int i = 0; i < kConnections; ++i) {
    CallOptions options;
    options.fresh_connection = true;
    calls.push_back(client.Start(
        {"127.0.0.1", server.port()}, request, options,
        [&](const CallEvent& event) {
          answered += std::holds_alternative<CallDone>(event) ? 1 : 0;
          if (answered == kConnections) {
            loop.Stop();
          }
        }));
  }
  Timer end(loop);
  end.Start(std::chrono::seconds(20), [&] { loop.Stop(); });
  loop.Run();
  CHECK(client.idle_connections() == kConnections);
  CHECK(base::ResidentBytes() - before < kMaxGrowth);
}

}  // namespace carawayvalve::net
