#include <doctest/doctest.h>

#include <functional>
#include <map>

#include "answer_server.h"
#include "carawayvalve/systems/backend_servers.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve/systems/http_client.h"
#include "carawayvalve/systems/object_api.h"
#include "carawayvalve/systems/plain_service.h"
#include "carawayvalve/systems/weight_store.h"

namespace carawayvalve::systems {

namespace {

using Answer = std::function<Reply(const std::string& request)>;

// Answers as `answer` says, and writes the previous answer on the connection
// once more before that.
auto Repeating(Answer answer) {
  return [answer = std::move(answer), last = std::map<int, std::string>()](
             int connection, const std::string& request) mutable {
    Reply reply = answer(request);
    const std::string copy = std::exchange(last[connection], reply.bytes);
    reply.bytes.insert(0, copy);
    return reply;
  };
}

// Answers with each body in turn.
Answer InTurn(std::vector<std::string> bodies) {
  return [bodies = std::move(bodies),
          next = size_t{0}](const std::string&) mutable {
    return JsonReply(200, bodies.at(next++));
  };
}

std::string PathOf(const std::string& request) {
  const size_t begin = request.find(' ') + 1;
  return request.substr(begin, request.find(' ', begin) - begin);
}

}  // namespace

// Guards against leases, claims and lists that are those of an earlier call,
// as a server writes its answer to that once more, where the next is due.
TEST_CASE("a store repeats its answers") {
  SUBCASE("an object isn't taken for the one that was read before") {
    AnswerServer server(Repeating([](const std::string& request) {
      return JsonReply(200,
                       R"({"version":8,"value":")" + PathOf(request) + "\"}");
    }));
    const ObjectApi api(server.Address());
    CHECK(api.Get("lease", "a")->value == "/objects/lease/a");
    CHECK(api.Get("lease", "b")->value == "/objects/lease/b");
  }
  SUBCASE("an object that has come isn't missing still") {
    AnswerServer server(Repeating([asked = 0](const std::string&) mutable {
      return asked++ == 0 ? JsonReply(404, "")
                          : JsonReply(200, R"({"version":8,"value":"a"})");
    }));
    const ObjectApi api(server.Address());
    CHECK_FALSE(api.Get("lease", "a").has_value());
    CHECK(api.Get("lease", "a").has_value());
  }
  SUBCASE("a list isn't that of another kind") {
    AnswerServer server(Repeating([](const std::string& request) {
      return JsonReply(200, PathOf(request) == "/objects/key"
                                ? R"({"revision":9,"objects":[]})"
                                : R"({"revision":9,"objects":[
                        {"name":"a","version":8,"value":"v"}]})");
    }));
    const ObjectApi api(server.Address());
    CHECK(api.List("key").objects.empty());
    CHECK(api.List("route").objects.size() == 1);
  }
  SUBCASE("a lost update isn't confirmed by an earlier read") {
    // Between them, another holder has written.
    AnswerServer server(Repeating([asked =
                                       0](const std::string& request) mutable {
      ++asked;
      if (request.starts_with("PUT")) {
        return NoReply();
      }
      return JsonReply(200, asked == 1 ? R"({"version":7,"value":"me 1"})"
                                       : R"({"version":8,"value":"other 2"})");
    }));
    const ObjectApi api(server.Address());
    CHECK(api.Get("lease", "a")->version == 7);
    CHECK_FALSE(api.PutAndConfirm("lease", "a", "me 1", 7).done);
  }
}

// Guards against decisions by an earlier state, or by that of something else.
TEST_CASE("other services repeat their answers") {
  SUBCASE("backend servers aren't those of another data centre") {
    AnswerServer server(Repeating(InTurn({R"({"backend_servers":[]})",
                                          R"({"backend_servers":[
             {"name":"a","service":"s","state":"running"}]})"})));
    const BackendServers servers(server.Address());
    CHECK(servers.List({"north"}).empty());
    CHECK(servers.List({"south"}).size() == 1);
  }
  SUBCASE("hosts aren't those of before") {
    AnswerServer server(Repeating(
        InTurn({R"({"hosts":[{"name":"a","data_centre":"d","region":"r",
             "role":"entry","address":"127.0.0.1:1","state":"live"}]})",
                R"({"hosts":[]})"})));
    const HostList hosts(server.Address());
    CHECK(hosts.Read().size() == 1);
    CHECK(hosts.Read().empty());
  }
  SUBCASE("weights aren't those of another version") {
    AnswerServer server(
        Repeating(InTurn({R"({"bytes":1})", R"({"bytes":2})"})));
    const WeightStore store(server.Address());
    CHECK(store.LookUp("m", "1").bytes == 1);
    CHECK(store.LookUp("m", "2").bytes == 2);
  }
  SUBCASE("load isn't that of before") {
    AnswerServer server(Repeating(
        InTurn({R"({"running_requests":1})", R"({"running_requests":2})"})));
    const PlainService service(server.Address());
    CHECK(service.RunningRequests() == 1);
    CHECK(service.RunningRequests() == 2);
  }
}

TEST_CASE("an answer isn't taken from a connection that had another call") {
  std::string connections;
  const auto read_twice = [&](const Reply& reply) {
    AnswerServer server([&, reply](int connection, const std::string&) {
      connections += std::to_string(connection) + ' ';
      return reply;
    });
    HttpRequest request;
    request.url = "http://" + server.Address();
    HttpCall("read", request);
    // Time for bytes that come late.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    HttpCall("read", request);
  };
  SUBCASE("that brought nothing else") {
    read_twice(JsonReply(200, "{}"));
  }
  SUBCASE("that brought another answer at once") {
    Reply reply = JsonReply(200, "{}");
    reply.bytes += reply.bytes;
    read_twice(reply);
  }
  SUBCASE("that brought another answer later") {
    Reply reply = JsonReply(200, "{}");
    reply.piece = reply.bytes.size();
    reply.pause = std::chrono::milliseconds(10);
    reply.bytes += reply.bytes;
    read_twice(reply);
  }
  CHECK(connections == "1 2 ");
}

}  // namespace carawayvalve::systems
