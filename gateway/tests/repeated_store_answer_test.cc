// Guards against two holders of one lease, one of which took the store's answer
// to an earlier write, written once more, for that to a write that was refused.
#include <doctest/doctest.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "../../systems/tests/answer_server.h"
#include "duty_holder.h"
#include "platform/store.h"
#include "request_fixture.h"

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

}  // namespace

TEST_CASE("the store repeats its answer to a write before it refuses another") {
  constexpr Milliseconds kLease(1000);
  // No grant is valid for longer than this after the write that gave it.
  constexpr Milliseconds kTerm = kLease + Milliseconds(700);
  std::mutex mutex;
  std::map<int, std::string> answers;
  std::string object;
  base::Instant accepted_at;
  int refused = 0;
  AnswerServer store([&](int connection, const std::string& request) -> Reply {
    const std::lock_guard lock(mutex);
    if (request.starts_with("GET") &&
        request.find("/duties ") != std::string::npos) {
      return object.empty() ? JsonReply(404, "{}") : JsonReply(200, object);
    }
    if (request.starts_with("GET")) {
      return JsonReply(200, tests::ListOf({}, 9));
    }
    if (request.starts_with("POST") && object.empty()) {
      auto value = nlohmann::json::parse(BodyOf(request));
      value["meta"]["rev"] = 9;
      object = value.dump();
      accepted_at = base::Now();
      answers[connection] = JsonReply(201, object).bytes;
      return JsonReply(201, object);
    }
    ++refused;
    const bool repeats = base::Now() - accepted_at > kTerm / 2;
    return {(repeats ? std::exchange(answers[connection], "") : "") +
                JsonReply(503, "{}").bytes,
            true};
  });
  GatewaySettings settings = RequestSettings(kSlackOfOneRetry);
  settings.duties.address = {"127.0.0.1", 1};
  settings.duties.lease = kLease;
  TestGateway gateway(settings);
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.Address()), seconds(1));
  StoreFeed feed(gateway.context, objects);
  RecentStore recent(gateway.context, objects, feed);
  DutyHolder duties(gateway.context, objects, recent);
  const auto run_until = [&](const auto& done) {
    const base::Instant end = base::Now() + seconds(4);
    while (base::Now() < end && !done()) {
      duties.Tick({settings.host});
      gateway.RunFor(kSlice);
    }
    return done();
  };
  REQUIRE(run_until([&] { return duties.holds(base::Now()); }));
  base::Instant end;
  {
    const std::lock_guard lock(mutex);
    end = accepted_at + kTerm;
  }
  run_until([&] { return base::Now() > end; });
  CHECK_FALSE(duties.holds(base::Now()));
  const std::lock_guard lock(mutex);
  CHECK(refused > 1);
}

// Guards against backend servers that are dropped, and changes that are missed.
TEST_CASE("the store repeats its answer to a read before that to another") {
  std::mutex mutex;
  std::map<int, std::string> answers;
  int changes = 0;
  AnswerServer store([&](int connection, const std::string& request) -> Reply {
    const std::lock_guard lock(mutex);
    const bool of_servers = request.find("/servers") != std::string::npos;
    std::string body = tests::ListOf({of_servers ? "s" : "c"}, 9);
    if (request.find("watch=") != std::string::npos) {
      body = tests::NoChanges(9 + changes++);
    }
    const std::string bytes = JsonReply(200, body).bytes;
    return {std::exchange(answers[connection], bytes) + bytes, true};
  });
  TestGateway gateway(RequestSettings(kSlackOfOneRetry));
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.Address()), seconds(1));

  SUBCASE("a list of another kind") {
    std::string names;
    const auto on_listed = [&](const platform::ListResult& result) {
      const auto& page = std::get<platform::ObjectPage>(result);
      names += page.objects.front().name;
    };
    const auto config = objects.List("config", "", false, on_listed);
    gateway.RunFor(Milliseconds(100));
    const auto servers = objects.List("servers", "", false, on_listed);
    gateway.RunFor(Milliseconds(100));
    CHECK(names == "cs");
  }
  SUBCASE("a later watch") {
    int64_t revision = 0;
    const auto on_watched = [&](const platform::WatchResult& result) {
      revision = std::get<platform::ObjectChanges>(result).revision;
    };
    const auto first =
        objects.Watch("servers", 9, Milliseconds(50), on_watched);
    gateway.RunFor(Milliseconds(100));
    const auto second =
        objects.Watch("servers", 9, Milliseconds(50), on_watched);
    gateway.RunFor(Milliseconds(100));
    CHECK(revision == 10);
  }
}

}  // namespace carawayvalve::gateway
