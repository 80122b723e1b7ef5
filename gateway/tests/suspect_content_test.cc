// Guards against a popular request that stays refused, as it was running at
// backend servers that crashed together, and against trials that crash more
// than one of them (issue 67).
#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using std::chrono::seconds;
using tests::Backend;

namespace {

// Two engines that generate, and a request that was running at two others as
// these crashed together a while ago.
struct SuspectFixture : RequestFixture {
  SuspectFixture() : RequestFixture(2, kSlackOfManyRetries) {
    this->Add("one", this->one.port(), EngineRole::kDecode);
    this->Add("other", this->other.port(), EngineRole::kDecode);
    const std::string digest = core::ContentDigest(
        {}, this->request.target + '\n' + this->request.body);
    for (const char* crash : {"crash 1", "crash 2"}) {
      this->gateway.state.poison_requests.NoteCrash({digest, {}}, crash,
                                                    base::Now() - seconds(5));
    }
  }

  // Returns the status of the answer.
  int Ask() {
    this->SendRequest([](const std::string&) {}, this->request);
    return this->status;
  }

  net::Request request = tests::PromptRequest("shop.example", "/notes/1", "r1");
  Backend one{gateway.loop, {.id = "one"}, runs};
  Backend other{gateway.loop, {.id = "other"}, runs};
};

}  // namespace

TEST_CASE("a request whose crashes may have one other cause is tried") {
  SuspectFixture fixture;

  SUBCASE("and served from its first answer on") {
    CHECK(fixture.Ask() == 200);
    CHECK(fixture.Ask() == 200);
    CHECK(fixture.runs.size() == 2);
  }
  SUBCASE("and not sent elsewhere if that breaks off") {
    fixture.one.lost_answers = 1;
    fixture.other.lost_answers = 1;
    CHECK(fixture.Ask() != 200);
    CHECK(fixture.runs.size() == 1);

    SUBCASE("nor sent again at once") {
      CHECK(fixture.Ask() == 503);
      CHECK(fixture.runs.size() == 1);
    }
  }
  SUBCASE("by one gateway alone") {
    fixture.gateway.state.SetLiveHosts({}, base::Now());
    CHECK(fixture.Ask() == 503);
    CHECK(fixture.runs.empty());
  }
}

}  // namespace carawayvalve::gateway
