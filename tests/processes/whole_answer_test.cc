// proof 9: A caller gets the complete answer to its own request, even when
// answers arrive late or out of order.

#include <doctest/doctest.h>

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "background_call.h"
#include "carawayvalve/base/error.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

// Slow enough that a fault can be injected while an answer is streamed.
const std::vector<std::string> kSlowEngine = {"--models=bench-7b",
                                              "--decode-tps=160"};
constexpr char kLongPrompt[] = "tell of a watch length=60";

// A caller that stops reading after the first bytes, until ResumeReading is
// called.
class StalledCall {
 public:
  StalledCall(const Deployment& deployment,
              const std::string& path,
              const std::string& key,
              const std::string& body) {
    systems::HttpRequest request;
    request.method = "POST";
    request.url = "http://" + deployment.address("entry-1") + path;
    request.headers = {{"Authorization", "Bearer " + key}};
    request.body = body;
    request.timeout = base::Milliseconds(120000);
    this->thread = std::thread([this, request] {
      systems::HttpSink sink;
      sink.body = [this](const char* bytes, size_t count) {
        std::unique_lock lock(this->mutex);
        this->received.append(bytes, count);
        this->changed.notify_all();
        this->changed.wait(lock, [this] { return this->resumed; });
        return true;
      };
      try {
        this->complete = systems::HttpStream("call slowly", request, sink);
      } catch (const base::Error&) {
        // `complete` stays false.
      }
    });
  }

  ~StalledCall() { this->ResumeReading(); }

  StalledCall(const StalledCall&) = delete;
  StalledCall& operator=(const StalledCall&) = delete;

  bool IsStalled() const {
    const std::lock_guard lock(this->mutex);
    return !this->received.empty();
  }

  // Reads the rest and returns the body, or "" if it didn't end as its HTTP
  // framing requires.
  std::string ResumeReading() {
    {
      const std::lock_guard lock(this->mutex);
      this->resumed = true;
      this->changed.notify_all();
    }
    if (this->thread.joinable()) {
      this->thread.join();
    }
    return this->complete ? this->received : "";
  }

 private:
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool resumed = false;
  std::string received;
  bool complete = false;
  std::thread thread;
};

bool IsStreaming(const BackgroundCall& call) {
  return StreamText(call.Body()).size() > 10;
}

}  // namespace

TEST_CASE("an answer is complete or ends with an error") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("engine-1", "engine", kSlowEngine);
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  const int control = FreePort();
  deployment.SetPort("bench-1", FreePort());
  deployment.SetPort("bench-1-operator", FreePort());
  deployment.StartForwarder("link", deployment.address("bench-1"), control);
  deployment.StartAgent("bench-1", "bench-models", "model", "engine-1", {},
                        deployment.address("link"));
  deployment.StartEntry("entry-1");
  deployment.AwaitReady("entry-1", 1);
  const std::string expected = AnswerText(
      deployment
          .Call("entry-1", "POST", kChatPath, key, ChatBody(kLongPrompt, false))
          .body);
  BackgroundCall call(deployment, "entry-1", "POST", kChatPath, key,
                      ChatBody(kLongPrompt, true));
  Await("the answer to be streaming", [&] { return IsStreaming(call); });

  SUBCASE("the connection to the agent is lost and restored") {
    deployment.ControlForwarder(control, "cut", true);
    deployment.ControlForwarder(control, "cut", false);
    const auto result = call.Wait();
    CHECK(result.complete);
    CHECK(HasEndMarker(result.body));
    CHECK(StreamText(result.body) == expected);
  }

  SUBCASE("another request is answered at the same time") {
    const auto other =
        deployment.Call("entry-1", "POST", kChatPath, key,
                        ChatBody("something else length=20", true));
    CHECK(HasEndMarker(other.body));
    CHECK(StreamText(other.body) != expected);
    CHECK(StreamText(call.Wait().body) == expected);
  }

  SUBCASE("the only engine crashes: the stream has no regular end") {
    deployment.process("engine-1").Kill();
    const auto result = call.Wait();
    CHECK_FALSE(result.complete);
    CHECK_FALSE(HasEndMarker(result.body));
    CHECK(result.body.find("event: error") != std::string::npos);
    CHECK(expected.starts_with(StreamText(result.body)));
  }

  SUBCASE("the entry process is killed: the caller sees a broken response") {
    deployment.process("entry-1").Kill();
    const auto result = call.Wait();
    CHECK_FALSE(result.complete);
    CHECK_FALSE(HasEndMarker(result.body));
  }
}

TEST_CASE("an answer whose engine crashes is resumed on another engine") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("engine-1", "engine", kSlowEngine);
  deployment.StartFake("engine-2", "engine", kSlowEngine);
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  deployment.StartAgent("bench-1", "bench-models", "model", "engine-1");
  deployment.StartAgent("bench-2", "bench-models", "model", "engine-2");
  deployment.StartEntry("entry-1");
  deployment.AwaitReady("entry-1", 2);
  const auto unstreamed = deployment.Call("entry-1", "POST", kChatPath, key,
                                          ChatBody(kLongPrompt, false));
  BackgroundCall call(deployment, "entry-1", "POST", kChatPath, key,
                      ChatBody(kLongPrompt, true));
  Await("the answer to be streaming", [&] { return IsStreaming(call); });
  std::string server;
  Await("the attempt to show in the dump", [&] {
    const auto attempts = deployment.Dump("entry-1")["attempts"];
    server = attempts.empty() ? "" : attempts[0]["backend_server"];
    return !server.empty();
  });

  SUBCASE("the engine is killed") {
    deployment.process(server == "bench-1" ? "engine-1" : "engine-2").Kill();
    const auto result = call.Wait();
    CHECK(result.complete);
    CHECK(HasEndMarker(result.body));
    CHECK(StreamText(result.body) == AnswerText(unstreamed.body));
  }

  SUBCASE("the agent is killed") {
    deployment.process(server).Kill();
    const auto result = call.Wait();
    CHECK(HasEndMarker(result.body));
    CHECK(StreamText(result.body) == AnswerText(unstreamed.body));
  }
}

TEST_CASE(
    "a caller that stops reading delays no other caller and loses no data") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  json declaration = SmallDeclaration();
  declaration["routes"][0]["deadline_ms"] = 120000;
  deployment.Apply(declaration);
  const std::string key = deployment.GrantKey("north", "test");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain",
                        {{"slots", 2}});
  deployment.StartEntry("entry-1", {{"http_threads", 1}});
  deployment.AwaitReady("entry-1", 1);
  // The stand-in echoes each of these bytes as six, more than all buffers on
  // the path hold.
  const std::string body(3 * 1024 * 1024, '\x01');
  StalledCall stalled(deployment, "/tickets/stalled", key, body);
  Await("the caller to stall", [&] { return stalled.IsStalled(); });

  // Another caller receives as much; in that time the first answer would have
  // ended too if backpressure didn't stop it.
  const json other = json::parse(
      deployment.Call("entry-1", "POST", "/tickets/other", key, body).body,
      nullptr, false);
  REQUIRE(other.is_object());
  CHECK((other["body"] == body));
  const json dump = deployment.Dump("entry-1");
  CHECK(dump["attempts"].size() == 1);

  const json answer = json::parse(stalled.ResumeReading(), nullptr, false);
  REQUIRE(answer.is_object());
  CHECK(answer["path"] == "/tickets/stalled");
  CHECK((answer["body"] == body));
}

}  // namespace carawayvalve::tests
