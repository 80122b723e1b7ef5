#include "carawayvalve/systems/host_list.h"

#include <doctest/doctest.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

TEST_CASE("HostList reads the platform's hosts") {
  SUBCASE("they are sorted by name") {
    AnswerServer server({JsonReply(200, R"({"hosts":[
      {"name":"b","data_centre":"d","region":"r","role":"backend",
       "address":"127.0.0.1:2","service":"s","state":"leaving"},
      {"name":"a","data_centre":"d","region":"r","role":"entry",
       "address":"127.0.0.1:1","state":"live"}]})")});
    CHECK(HostList(server.Address()).Read() ==
          std::vector<Host>{
              {{"a"}, {"d"}, {"r"}, HostRole::kEntry, "127.0.0.1:1", {}, false},
              {{"b"},
               {"d"},
               {"r"},
               HostRole::kBackend,
               "127.0.0.1:2",
               {"s"},
               true}});
  }

  SUBCASE("an answer that isn't a host list is an error, not an empty list") {
    for (const char* body :
         {"", "[]", "{}", R"({"hosts":{}})", R"({"hosts":[{"name":"a"}]})"}) {
      CAPTURE(body);
      AnswerServer server({JsonReply(200, body)});
      CHECK_THROWS_WITH_AS(HostList(server.Address()).Read(),
                           doctest::Contains("read host list at 127.0.0.1"),
                           base::Error);
    }
  }
}

}  // namespace carawayvalve::systems
