#include "carawayvalve/systems/object_api.h"

#include <doctest/doctest.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

using base::Milliseconds;
using base::NotReachedError;
using base::UnknownOutcomeError;

// Guards against a lease of a store that came back older: see core::Lease.
TEST_CASE("answers name the store's era") {
  const auto answer = [](int status, const std::string& era) {
    const std::string body =
        status == 404 ? "" : R"({"version":8,"value":"a"})";
    return Reply{"HTTP/1.1 " + std::to_string(status) +
                     " Answer\r\nStore-Era: " + era + "\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 true};
  };
  AnswerServer server({answer(200, "2"), answer(404, "3"), answer(200, "2"),
                       answer(409, "4"), answer(200, "later")});
  const ObjectApi api(server.Address());
  // Copies share what is known of the era.
  const std::vector<ObjectApi> copies = {api};
  CHECK(api.Get("lease", "fleet")->era == 2);
  CHECK(!api.Get("lease", "fleet").has_value());
  CHECK(copies.front().newest_era() == 3);
  CHECK_THROWS_AS(api.Get("lease", "fleet"), UnknownOutcomeError);
  CHECK(api.Put("lease", "fleet", "a", 7) == UpdateResult{false, 8, 4});
  CHECK(api.Get("lease", "fleet")->era == 0);
  CHECK(api.newest_era() == 4);
}

// Guards against a configuration whose chunks are abandoned while they arrive,
// and read again from their beginning.
TEST_CASE("a large object comes through a slow link") {
  constexpr Milliseconds kTimeout(500);
  const std::string value(size_t{300} * 1024, 'a');
  const std::string body = R"({"version":8,"value":")" + value + R"("})";
  Reply reply = JsonReply(200, body);
  // 160 KB a second: two seconds in all.
  reply.piece = size_t{16} * 1024;

  SUBCASE("as long as that takes") {
    AnswerServer server({reply});
    const ObjectApi api(server.Address(), kTimeout);
    CHECK(api.Get("configuration-chunk", "0")->value == value);
  }

  SUBCASE("but isn't waited for once it has stalled") {
    reply.bytes.resize(reply.bytes.size() / 2);
    AnswerServer server({reply});
    const ObjectApi api(server.Address(), kTimeout);
    const base::Instant before = base::Now();
    CHECK_THROWS_AS(api.Get("configuration-chunk", "0"), UnknownOutcomeError);
    CHECK(base::Now() - before < std::chrono::seconds(5));
  }

  SUBCASE("nor at all unless it begins") {
    AnswerServer server({Reply{.bytes = "", .keep_open = true}});
    const ObjectApi api(server.Address(), kTimeout);
    const base::Instant before = base::Now();
    CHECK_THROWS_AS(api.Get("configuration-chunk", "0"), UnknownOutcomeError);
    CHECK(base::Now() - before < std::chrono::seconds(3));
  }
}

TEST_CASE("PutAndConfirm resolves the outcome of an update") {
  const auto put = [](const AnswerServer& server, int64_t if_version = 7) {
    return ObjectApi(server.Address())
        .PutAndConfirm("lease", "fleet", "me 1", if_version);
  };
  const Reply own = JsonReply(200, R"({"version":8,"value":"me 1"})");

  SUBCASE("given an answer, its result is returned") {
    AnswerServer server({JsonReply(200, R"({"version":8})"),
                         JsonReply(409, R"({"version":9})")});
    CHECK(put(server) == UpdateResult{true, 8});
    CHECK(put(server) == UpdateResult{false, 9});
    CHECK(server.Requests().size() == 2);
  }

  SUBCASE("given a lost answer") {
    SUBCASE("its own value shows that the update took effect") {
      AnswerServer server({NoReply(), own});
      CHECK(put(server) == UpdateResult{true, 8});
    }

    SUBCASE("another writer's value shows that it is not in effect") {
      AnswerServer server(
          {NoReply(), JsonReply(200, R"({"version":8,"value":"other 1"})")});
      CHECK(put(server) == UpdateResult{false, 8});
    }

    SUBCASE("a missing object shows that it is not in effect") {
      AnswerServer server({NoReply(), JsonReply(404, "")});
      CHECK(put(server) == UpdateResult{false, 0});
    }

    SUBCASE(
        "an unchanged object is inconclusive: the update may be in flight") {
      AnswerServer present(
          {NoReply(), JsonReply(200, R"({"version":7,"value":"before"})")});
      CHECK_THROWS_AS(put(present), UnknownOutcomeError);
      AnswerServer absent({NoReply(), JsonReply(404, "")});
      CHECK_THROWS_AS(put(absent, 0), UnknownOutcomeError);
    }

    SUBCASE("a second lost answer or a refused connection leaves it unknown") {
      AnswerServer silent({NoReply(), NoReply()});
      CHECK_THROWS_AS(put(silent), UnknownOutcomeError);
      AnswerServer refusing({{.bytes = "", .stop_listening = true}});
      CHECK_THROWS_AS(put(refusing), UnknownOutcomeError);
    }
  }

  SUBCASE("given an unreadable answer, it is resolved as well") {
    for (const Reply& reply :
         {JsonReply(200, "{"), JsonReply(200, "{}"), JsonReply(500, ""),
          JsonReply(200, R"({"version":1e99})")}) {
      CAPTURE(reply.bytes);
      AnswerServer server({reply, own});
      CHECK(put(server).done);
    }
  }

  SUBCASE("given a refused connection, it certainly had no effect") {
    const Listener refusing(kNotListening);
    const ObjectApi api(refusing.Address());
    CHECK_THROWS_AS(api.PutAndConfirm("lease", "fleet", "me 1", 7),
                    NotReachedError);
  }
}

TEST_CASE("An update is sent once, whatever was sent before") {
  AnswerServer server({JsonReply(404, ""), NoReply(), NoReply()});
  const ObjectApi api(server.Address());
  REQUIRE_FALSE(api.Get("lease", "fleet").has_value());
  SUBCASE("by Put") {
    CHECK_THROWS_AS(api.Put("lease", "fleet", "me 1", 0), UnknownOutcomeError);
  }
  SUBCASE("by Delete") {
    CHECK_THROWS_AS(api.Delete("lease", "fleet", 7), UnknownOutcomeError);
  }
  CHECK(server.Requests().size() == 2);
}

TEST_CASE("ObjectApi speaks the Object API's protocol") {
  SUBCASE("names are escaped and bodies are JSON") {
    AnswerServer server({JsonReply(200, R"({"version":1})")});
    const ObjectApi api(server.Address());
    CHECK(api.Put("key", "a/b c?", "\"v\"", 0) == UpdateResult{true, 1});
    CHECK_THROWS_AS(api.Put("key", "not UTF-8", "\xff", 0), NotReachedError);
    REQUIRE(server.Requests().size() == 1);
    const std::string request = server.Requests()[0];
    CHECK(request.starts_with("PUT /objects/key/a%2Fb%20c%3F HTTP/1.1\r\n"));
    CHECK(request.ends_with(R"({"if_version":0,"value":"\"v\""})"));
  }

  SUBCASE("objects are read, and a watch reports deleted ones") {
    AnswerServer server(
        {JsonReply(
             200,
             R"({"revision":9,"objects":[{"name":"a","version":8,"value":"v"},
                {"name":"b","version":9,"deleted":true}]})"),
         JsonReply(200, R"({"version":8,"value":"v"})")});
    const ObjectApi api(server.Address());
    CHECK(api.Watch("key", 7, Milliseconds(20)) ==
          ObjectList{9, {{"a", 8, "v", false}, {"b", 9, "", true}}});
    CHECK(api.Get("key", "a") == Object{"a", 8, "v", false});
    CHECK(server.Requests().at(0).starts_with(
        "GET /watch/key?from=7&wait_ms=20 HTTP/1.1\r\n"));
  }

  SUBCASE("a deletion takes effect or is refused") {
    AnswerServer server(
        {JsonReply(200, ""), JsonReply(409, R"({"version":5})")});
    const ObjectApi api(server.Address());
    CHECK(api.Delete("key", "a", 4) == UpdateResult{true, 0});
    CHECK(api.Delete("key", "a", 4) == UpdateResult{false, 5});
  }

  SUBCASE("a value that is too large has a certain outcome") {
    AnswerServer server({JsonReply(413, "")});
    CHECK_THROWS_WITH(ObjectApi(server.Address()).Put("key", "a", "v", 0),
                      doctest::Contains("the value is too large"));
  }

  SUBCASE("a list without its objects is an error, not an empty list") {
    AnswerServer server({JsonReply(200, R"({"revision":9})")});
    CHECK_THROWS_AS(ObjectApi(server.Address()).List("key"), base::Error);
  }
}

}  // namespace carawayvalve::systems
