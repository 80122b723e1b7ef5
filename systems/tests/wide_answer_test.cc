#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "answer_server.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/systems/backend_servers.h"
#include "carawayvalve/systems/engine.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve/systems/object_api.h"
#include "carawayvalve/systems/plain_service.h"
#include "carawayvalve/systems/weight_store.h"

namespace carawayvalve::systems {

namespace {

// Returns an object with the members and another, of as many values.
std::string Widen(const std::string& members, size_t values) {
  std::string object = "{" + members + ",\"other\":[0";
  for (size_t i = 1; i < values; ++i) {
    object += ",0";
  }
  return object + "]}";
}

struct Kind {
  std::string members;
  std::function<void(const std::string& address)> call;
};

std::vector<Kind> Kinds() {
  return {
      {R"("hosts":[])",
       [](const std::string& address) { HostList(address).Read(); }},
      {R"("revision":1,"objects":[])",
       [](const std::string& address) {
         ObjectApi(address, base::Milliseconds(5000)).List("kind");
       }},
      {R"("version":1,"value":"")",
       [](const std::string& address) {
         ObjectApi(address, base::Milliseconds(5000)).Get("kind", "name");
       }},
      {R"("backend_servers":[])",
       [](const std::string& address) { BackendServers(address).List({"d"}); }},
      {R"("running_requests":1)",
       [](const std::string& address) {
         PlainService(address).RunningRequests();
       }},
      {R"("next":1,"gap":false,"added":[],"dropped":[])",
       [](const std::string& address) { Engine(address).ReadCacheEvents(0); }},
      {R"("kv":"")",
       [](const std::string& address) { Engine(address).ExportKv(""); }},
      {R"("bytes":1)",
       [](const std::string& address) {
         WeightStore(address).LookUp("model", "version");
       }},
  };
}

}  // namespace

// Such an answer needs many times its size once it is parsed.
TEST_CASE("an answer that has too many values isn't read") {
  for (const Kind& kind : Kinds()) {
    CAPTURE(kind.members);
    AnswerServer server(
        {JsonReply(200, Widen(kind.members, base::kMaxForeignValues / 2)),
         JsonReply(200, Widen(kind.members, base::kMaxForeignValues + 1))});
    CHECK_NOTHROW(kind.call(server.Address()));
    CHECK_THROWS_WITH_AS(kind.call(server.Address()),
                         doctest::Contains("values"),
                         base::UnknownOutcomeError);
  }
}

}  // namespace carawayvalve::systems
