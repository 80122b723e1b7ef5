#include "carawayvalve/systems/engine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

namespace {

using base::Milliseconds;
using base::UnknownOutcomeError;

const std::string kToken = R"({"text":"ab"})";
const std::string kEnd =
    R"({"end":true,"finish_reason":"stop","prompt_tokens":4,"output_tokens":1,"cached_tokens":2})";

Reply Chunked(const std::vector<std::string>& chunks, bool complete) {
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : chunks) {
    char size[20];
    snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
    bytes += size + chunk + "\r\n";
  }
  return {bytes + (complete ? "0\r\n\r\n" : "")};
}

// Returns whether the line is valid; exceptions other than base::Error
// propagate.
bool IsEngineLine(const std::string& line) {
  try {
    ParseEngineLine(line);
    return true;
  } catch (const base::Error&) {
    return false;
  }
}

// A line whose members may be missing, of the wrong type or out of range.
rc::Gen<std::string> MalformedLine() {
  const auto member = [](const std::string& name) {
    return rc::gen::map(
        rc::gen::element<std::string>(
            "true", "false", "null", "\"stop\"", "7", "-1", "1e99",
            "18446744073709551615", "[]", "{}", "\"\xff\"", "\"\\ud800\"", ""),
        [name](const std::string& value) {
          return value.empty() ? "" : "\"" + name + "\":" + value + ",";
        });
  };
  return rc::gen::map(
      rc::gen::tuple(member("end"), member("text"), member("finish_reason"),
                     member("prompt_tokens"), member("output_tokens"),
                     member("cached_tokens")),
      [](const auto& members) {
        return std::apply(
            [](const auto&... each) {
              return "{" + (each + ...) + "\"more\":1}";
            },
            members);
      });
}

}  // namespace

TEST_CASE("ParseEngineLine accepts only an engine's lines") {
  SUBCASE("given a token or an end line, it is parsed") {
    CHECK(ParseEngineLine(kToken) == EngineLine{"ab", std::nullopt});
    CHECK(ParseEngineLine(kEnd) ==
          EngineLine{"", GenerationEnd{"stop", 4, 1, 2}});
  }

  SUBCASE("given any bytes, it throws nothing but base::Error") {
    CHECK(rc::check("any bytes", [](const std::string& line) {
      RC_ASSERT_FALSE(IsEngineLine(line));
    }));
  }

  SUBCASE("given a truncated end line, it is rejected") {
    CHECK(rc::check("cut lines", [] {
      const size_t length = *rc::gen::inRange<size_t>(0, kEnd.size());
      RC_ASSERT_FALSE(IsEngineLine(kEnd.substr(0, length)));
    }));
  }

  SUBCASE(
      "given members of the wrong type, it throws nothing but base::Error") {
    CHECK(rc::check("wrong members", [] {
      const std::string line = *MalformedLine();
      if (IsEngineLine(line)) {
        const EngineLine read = ParseEngineLine(line);
        RC_ASSERT(!read.end.has_value() || read.end->prompt_tokens == 7);
      }
    }));
  }
}

TEST_CASE("Engine passes on a generation's lines") {
  std::vector<std::string> lines;
  const auto generate = [&lines](const AnswerServer& server) {
    return Engine(server.Address())
        .Generate(
            Generation{}, Milliseconds(5000),
            [](int, const std::vector<HttpHeader>&) {},
            [&lines](const std::string& line) {
              lines.push_back(line);
              return line != "{\"text\":\"stop\"}";
            },
            [] { return false; });
  };
  const std::string output = kToken + "\n" + kToken + "\n" + kEnd + "\n";

  SUBCASE("given output in chunks of any size, the lines are the same") {
    CHECK(rc::check("chunks", [&] {
      const size_t chunk_bytes = *rc::gen::inRange<size_t>(1, output.size());
      std::vector<std::string> chunks;
      for (size_t i = 0; i < output.size(); i += chunk_bytes) {
        chunks.push_back(output.substr(i, chunk_bytes));
      }
      lines.clear();
      AnswerServer server({Chunked(chunks, true)});
      RC_ASSERT(generate(server) == Engine::GenerateResult::kEnded);
      RC_ASSERT(lines == std::vector<std::string>({kToken, kToken, kEnd}));
    }));
  }

  SUBCASE("given a connection that breaks after the end line, it ended") {
    AnswerServer server({Chunked({output}, false)});
    CHECK(generate(server) == Engine::GenerateResult::kEnded);
  }

  SUBCASE("given output without an end line, the outcome is unknown") {
    for (const bool complete : {false, true}) {
      AnswerServer server({Chunked({kToken + "\n"}, complete)});
      CHECK_THROWS_AS(generate(server), UnknownOutcomeError);
    }
    CHECK(lines == std::vector<std::string>{kToken, kToken});
  }

  SUBCASE("given a malformed line, it is not passed on") {
    AnswerServer server({Chunked({"{\"txet\":1}\n"}, true)});
    CHECK_THROWS_AS(generate(server), UnknownOutcomeError);
    CHECK(lines.empty());
  }

  SUBCASE("given a callback that returns false, it is cancelled") {
    AnswerServer server({Chunked({"{\"text\":\"stop\"}\n", output}, true)});
    CHECK(generate(server) == Engine::GenerateResult::kCancelled);
    CHECK(lines.size() == 1);
  }

  SUBCASE("given the engine's own refusal, it is reported as refused") {
    AnswerServer server({JsonReply(503, R"({"reason":"full"})")});
    CHECK(generate(server) == Engine::GenerateResult::kRefused);
  }

  SUBCASE("given a 503 from another listener, the outcome is unknown") {
    AnswerServer server({JsonReply(503, "<html>"), JsonReply(500, "")});
    CHECK_THROWS_AS(generate(server), UnknownOutcomeError);
    CHECK_THROWS_AS(generate(server), UnknownOutcomeError);
  }
}

TEST_CASE("Engine reads load and cache events and sends orders") {
  SUBCASE("an order is accepted or refused") {
    AnswerServer server({JsonReply(200, ""), JsonReply(409, "")});
    const Engine engine(server.Address());
    EngineOrder order;
    order.fencing_token = 4;
    order.role = "decode";
    CHECK(engine.Order(order, Milliseconds(5000)));
    CHECK_FALSE(engine.Order(order, Milliseconds(5000)));
    CHECK(server.Requests().at(0).ends_with(
        R"({"fencing_token":4,"model":"","role":"decode","version":""})"));
  }

  SUBCASE("an order is sent once even over a reused connection") {
    AnswerServer server({JsonReply(200, R"({"next":1,"gap":true,"added":["a"],
                                            "dropped":[]})"),
                         NoReply()});
    const Engine engine(server.Address());
    const CacheEvents events = engine.ReadCacheEvents(0);
    CHECK(events.gap);
    CHECK(events.added == std::vector<std::string>{"a"});
    CHECK_THROWS_AS(engine.Order({}, Milliseconds(5000)), UnknownOutcomeError);
    CHECK(server.Requests().size() == 2);
  }

  SUBCASE("a load report with a member of the wrong type is an error") {
    AnswerServer server({JsonReply(200, R"({"queued_prefill_tokens":"3"})")});
    CHECK_THROWS_WITH_AS(Engine(server.Address()).Load(),
                         doctest::Contains("read load at"), base::Error);
  }
}

}  // namespace carawayvalve::systems
