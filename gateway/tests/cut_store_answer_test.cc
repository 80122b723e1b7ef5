// Guards against answers of the store that are cut while a large object is
// being written to it, and count as the store's word.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "../../systems/tests/upload_server.h"
#include "carawayvalve/platform/objects.h"

namespace carawayvalve::gateway {

namespace {

using systems::EarlyAnswer;
using systems::UploadEnd;

constexpr int kCalls = 8;
constexpr size_t kValueBytes = size_t{4} * 1024 * 1024;

// Returns the result of writing a large object.
platform::WriteResult Write(const std::string& address) {
  net::EventLoop loop;
  platform::ObjectClient objects(loop, base::ParseAddress(address),
                                 std::chrono::seconds(5));
  std::optional<platform::WriteResult> written;
  const auto call = objects.Replace("carawayvalve-recent", "recent-0", 1,
                                    std::string(kValueBytes, 'x'),
                                    [&](const platform::WriteResult& result) {
                                      written = result;
                                      loop.Stop();
                                    });
  loop.Run();
  return *written;
}

// An answer without a length of 200 KB, whose rest is missing.
EarlyAnswer CutAnswer(const std::string& status, const std::string& body) {
  return {"HTTP/1.1 " + status + "\r\n\r\n" + body +
              std::string(size_t{200} * 1024 - body.size(), ' '),
          UploadEnd::kReset, size_t{200} * 1024};
}

}  // namespace

TEST_CASE("an answer that is cut doesn't say what became of a large write") {
  EarlyAnswer answer;
  SUBCASE("a refusal") {
    answer = CutAnswer("503 Busy", "{}");
  }
  SUBCASE("a conflict") {
    answer = CutAnswer("409 Conflict", R"({"meta":{"name":"recent-0"})");
  }
  SUBCASE("an object, which is readable by itself") {
    answer = CutAnswer("200 OK", R"({"meta":{"name":"recent-0","rev":2}})");
  }
  const systems::UploadServer server(answer);
  for (int i = 0; i < kCalls; ++i) {
    const platform::WriteResult result = Write(server.Address());
    const auto* failed = std::get_if<platform::StoreCallFailed>(&result);
    CHECK(failed != nullptr);
    CHECK((failed == nullptr || !failed->not_sent));
  }
}

}  // namespace carawayvalve::gateway
