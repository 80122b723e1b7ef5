// Guards against answers of servers in trouble that reach callers.
#include <doctest/doctest.h>

#include <optional>

#include "../../systems/tests/odd_heads.h"
#include "../../systems/tests/upload_server.h"
#include "../platform/backend.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using systems::AnswerServer;
using systems::EarlyAnswer;
using systems::OddAnswer;
using systems::UploadEnd;
using systems::UploadServer;

constexpr int kCalls = 8;
constexpr size_t kUploadBytes = size_t{4} * 1024 * 1024;
constexpr int kBadGateway = 502;

// A gateway before one server.
struct OneServer {
  explicit OneServer(const std::string& address) {
    this->platform.ChangeStore([&](Store& store) {
      store.Put(
          "config", "main",
          WithStreams(PaymentConfiguration(), std::chrono::milliseconds(5000)));
      store.Put("servers", "i-1", DeskServer(address));
    });
    this->gateway = this->platform.Start("gateway");
    Await("the gateway to be ready",
          [this] { return this->platform.IsReady(); });
  }

  // Returns the answer to a payment; nothing if it is cut.
  std::optional<systems::HttpResponse> Pay(const std::string& path,
                                           const std::string& body) const {
    systems::HttpRequest request;
    request.method = "POST";
    request.url =
        "http://127.0.0.1:" + std::to_string(this->platform.Port("callers")) +
        path;
    request.headers = {{"Host", "gateway.example"},
                       {kKeyField, "key-guild"},
                       {"X-Request-Id", "r1"}};
    request.body = body;
    try {
      return systems::HttpCall("pay", request);
    } catch (const base::Error&) {
      return std::nullopt;
    }
  }

  GatewayPlatform platform;
  std::unique_ptr<Process> gateway;
};

// Returns the answer with the fields that make it a genuine one to r1.
std::string Genuine(std::string bytes) {
  const size_t fields = bytes.find("\r\n") + 2;
  return bytes.insert(fields,
                      std::string("X-Request-Id: r1\r\n") + kSignatureLine);
}

// Sends each of the answers from a server of its own; callers must get 502.
void CheckThatNoneReaches(const std::vector<OddAnswer>& answers) {
  size_t next = 0;
  AnswerServer server([&](int /*connection*/, const std::string&) {
    return systems::Reply{.bytes = Genuine(answers[next].second)};
  });
  const OneServer one(server.Address());
  for (; next < answers.size(); ++next) {
    for (const char* path : {"/pay/1", "/tell/1"}) {
      CAPTURE(answers[next].first);
      CAPTURE(std::string(path));
      // A server that fails often gets no requests for a while.
      std::optional<systems::HttpResponse> answer;
      const size_t before = server.Requests().size();
      Await("the server to be asked", [&] {
        answer = one.Pay(path, "5");
        return server.Requests().size() > before;
      });
      CHECK(answer.has_value());
      CHECK(answer.value_or(systems::HttpResponse()).status == kBadGateway);
    }
  }
}

// Returns how many of eight uploads are answered with 200 or 500, completely.
int CompleteOf(const EarlyAnswer& answer) {
  const UploadServer server(answer);
  const OneServer one(server.Address());
  int complete = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto received = one.Pay("/pay/1", std::string(kUploadBytes, 'x'));
    complete += received.has_value() && received->status != kBadGateway &&
                        received->status != 503
                    ? 1
                    : 0;
  }
  return complete;
}

}  // namespace

TEST_CASE("an answer of a server in trouble is none for callers") {
  SUBCASE("whose status is none") {
    CheckThatNoneReaches(systems::OddStatuses());
  }
  SUBCASE("in whose head a line is no field") {
    CheckThatNoneReaches(systems::OddFields());
  }
  SUBCASE("whose body is in a transfer coding") {
    CheckThatNoneReaches(systems::OddCodings());
  }
  SUBCASE("whose end can't be told") {
    CheckThatNoneReaches(systems::OddLengths());
  }
}

TEST_CASE("a server answers payments of 4 MB before it has read them") {
  const std::string part(size_t{200} * 1024, 'a');
  EarlyAnswer answer{AnswerHead("") + part, UploadEnd::kReset,
                     size_t{200} * 1024};
  SUBCASE("and resets its answer, which nobody takes for complete") {
    CHECK(CompleteOf(answer) == 0);
  }
  SUBCASE("and closes with unread input, which nobody takes for complete") {
    answer.end = UploadEnd::kCloseUnread;
    CHECK(CompleteOf(answer) == 0);
  }
  SUBCASE("and resets a 500, which nobody takes for complete") {
    answer.bytes = FailureHead("") + part;
    CHECK(CompleteOf(answer) == 0);
  }
  SUBCASE("and ends its answer in order, which reaches the callers") {
    answer.end = UploadEnd::kFinish;
    CHECK(CompleteOf(answer) == kCalls);
  }
}

}  // namespace carawayvalve::tests
