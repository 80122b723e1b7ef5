#include <doctest/doctest.h>

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "answer_server.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::systems {

namespace {

constexpr size_t kSentBytes = size_t{30} * 1024 * 1024;
constexpr int kCalls = 3;

// A body that never ends.
Reply UnfinishedReply() {
  return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n" +
                   std::string(kSentBytes, 'a'),
          .keep_open = true};
}

// Returns why the call failed.
std::string Failure(const std::string& address) {
  HttpRequest request;
  request.url = "http://" + address + "/";
  request.timeout = base::Milliseconds(15000);
  try {
    HttpCall("read", request);
    return "";
  } catch (const base::UnknownOutcomeError& error) {
    return error.reason();
  }
}

}  // namespace

// Each of them was within the bound of one answer.
TEST_CASE("answers without end together don't exhaust the memory") {
  std::optional<AnswerServer> server(
      std::vector<Reply>(kCalls, UnfinishedReply()));
  std::vector<std::future<std::string>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(std::async(std::launch::async, Failure, server->Address()));
  }
  std::vector<std::string> failures;
  while (failures.empty()) {
    for (auto& call : calls) {
      if (call.wait_for(base::Milliseconds(10)) == std::future_status::ready) {
        failures.push_back(call.get());
        break;
      }
    }
  }
  CHECK(failures.front() == "all answers together are too long");

  AnswerServer sound({JsonReply(200, "{}")});
  CHECK(Failure(sound.Address()).empty());
  server.reset();
}

}  // namespace carawayvalve::systems
