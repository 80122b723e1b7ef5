// Guards against an earlier answer, written once more, that is taken for that
// to a call of the gateway itself, which bears no id.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "../../systems/tests/answer_server.h"
#include "duty_holder.h"
#include "platform/store.h"
#include "request_fixture.h"
#include "role_controller.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;
using systems::AnswerServer;
using systems::JsonReply;
using systems::Reply;

namespace {

constexpr Milliseconds kSlice(10);

std::string BodyOf(const std::string& request) {
  return request.substr(request.find("\r\n\r\n") + 4);
}

// Writes the earlier answer of a connection once more before the next one.
class Repeater {
 public:
  Reply Print(int connection, const Reply& reply) {
    std::string& last = this->answers[connection];
    const std::string earlier = std::exchange(last, reply.bytes);
    return {earlier + reply.bytes, true};
  }

 private:
  std::map<int, std::string> answers;
};

core::BackendEntry Engine(const AnswerServer& server) {
  core::BackendEntry entry;
  entry.id = {"engine"};
  entry.service = {"models"};
  entry.address = base::ParseAddress(server.Address());
  entry.slots = 16;
  entry.role = config::EngineRole::kPrefill;
  return entry;
}

}  // namespace

TEST_CASE("an engine repeats its report before it answers an order") {
  Repeater repeater;
  AnswerServer engine([&](int connection, const std::string& request) {
    return repeater.Print(connection,
                          request.starts_with("GET")
                              ? JsonReply(200, R"({"seq":0,"busy":false})")
                              : JsonReply(202, "{}"));
  });
  TestGateway gateway(RequestSettings(kSlackOfOneRetry));
  gateway.state.ApplyPlan(NotesPlan(1));
  gateway.state.directory.NoteEntry(Engine(engine));
  RoleController roles(gateway.context);
  const base::Instant end = base::Now() + seconds(3);
  while (base::Now() < end && engine.Requests().size() < 2) {
    roles.Tick({1, base::Now(), base::Now() + seconds(5), seconds(5)});
    gateway.RunFor(kSlice);
  }
  gateway.RunFor(Milliseconds(200));
  REQUIRE(engine.Requests().size() == 2);
  CHECK(gateway.state.changing_roles.contains({"engine"}));
}

TEST_CASE("a server repeats a refusal before it answers a call without an id") {
  const Reply refusal{tests::RefusalHead("Content-Length: 0\r\n"), true};
  AnswerServer server([&](int /*connection*/, const std::string& request) {
    return request.find("X-Request-Id: r1") != std::string::npos
               ? refusal
               : Reply{refusal.bytes + JsonReply(200, "{}").bytes, true};
  });
  TestGateway gateway(RequestSettings(kSlackOfOneRetry));
  const base::Address address = base::ParseAddress(server.Address());
  const auto request = gateway.backends.Start(
      address, {"GET", "/", {{"X-Request-Id", "r1"}}, {}}, {},
      [](const net::CallEvent&) {});
  gateway.RunFor(Milliseconds(100));
  TimedCall::Result answer;
  const auto call = TimedCall::Start(
      gateway.loop, gateway.backends, address, {"DELETE", "/", {}, {}},
      seconds(1), [&](const TimedCall::Result& result) { answer = result; });
  gateway.RunFor(Milliseconds(200));
  REQUIRE(server.Requests().size() == 2);
  CHECK(answer.status == 200);
  REQUIRE(answer.skipped.size() == 1);
  CHECK(answer.skipped.front().echo == "r1");
}

// Guards against usage that is never reported.
TEST_CASE("the platform repeats an answer before it refuses a usage report") {
  Repeater repeater;
  std::mutex mutex;
  std::set<int64_t> refused;
  std::set<int64_t> accepted;
  AnswerServer platform([&](int connection, const std::string& request) {
    const std::lock_guard lock(mutex);
    const auto window =
        nlohmann::json::parse(BodyOf(request)).at("window").get<int64_t>();
    const bool refuses = !accepted.empty() && refused.insert(window).second;
    if (!refuses) {
      accepted.insert(window);
    }
    return repeater.Print(connection, JsonReply(refuses ? 503 : 200, "{}"));
  });
  GatewaySettings settings = RequestSettings(kSlackOfOneRetry);
  settings.duties.address = base::ParseAddress(platform.Address());
  settings.duties.lease = seconds(3);
  settings.duties.usage_window = Milliseconds(500);
  settings.duties.usage_late = seconds(8);
  TestGateway gateway(settings);
  gateway.state.wall_clock.RecordOwnTime(
      std::chrono::system_clock::now().time_since_epoch(), base::Now());
  tests::Store store(gateway.loop);
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.address()), seconds(1));
  StoreFeed feed(gateway.context, objects);
  RecentStore recent(gateway.context, objects, feed);
  DutyHolder duties(gateway.context, objects, recent);
  gateway.on_store_era = [&](int64_t era) { duties.NoteStoreEra(era); };
  std::set<int64_t> counted;
  const base::Instant start = base::Now();
  while (base::Now() - start < seconds(9)) {
    const int64_t window = gateway.state.wall_clock.At(base::Now()) /
                           base::Duration(settings.duties.usage_window);
    if (base::Now() - start < seconds(5) && counted.insert(window).second) {
      gateway.state.usage.Count({"boot"}, window, {"north"});
    }
    duties.Tick({settings.host});
    gateway.RunFor(kSlice);
  }
  const std::lock_guard lock(mutex);
  REQUIRE(!refused.empty());
  CHECK(duties.reported() == static_cast<int64_t>(accepted.size()));
}

}  // namespace carawayvalve::gateway
