// proof 5: No backend server sees a caller's key.

#include "http_mapping.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/core/route_table.h"

namespace carawayvalve::entry {

namespace {

using nlohmann::json;

const base::RequestId kRequest{"r-1"};
constexpr base::Milliseconds kMaxDeadline{60000};
constexpr char kValidChat[] =
    R"({"model":"m","messages":[{"role":"user","content":[{"type":"text",)"
    R"("text":"a"}]}],"max_tokens":7,"stream":true,"n":1,)"
    R"("stream_options":{"include_usage":true}})";
// Fragments to put in place of a value, most of them invalid there.
const std::vector<std::string> kFragments = {"null",
                                             "true",
                                             "-1",
                                             "0",
                                             "1",
                                             "1e999",
                                             "-1e999",
                                             "18446744073709551615",
                                             "9223372036854775808",
                                             "1.0",
                                             "0.5",
                                             "\"\"",
                                             "\"\\u0000\"",
                                             "\"\\ud800\"",
                                             "\"\xff\xfe\"",
                                             "[]",
                                             "{}",
                                             "[[[[]]]]",
                                             "[null]",
                                             "{\"type\":\"text\"}",
                                             "\"n\":",
                                             ",",
                                             "}",
                                             "]",
                                             "\"",
                                             std::string(1, '\0'),
                                             "\xc3"};

std::string Nested(const std::string& open,
                   const std::string& inner,
                   const std::string& close,
                   size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) {
    text += open;
  }
  text += inner;
  for (size_t i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

rc::Gen<std::string> AnyBytes() {
  return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

// A valid body in which some spans are replaced by fragments.
std::string MutatedBody() {
  std::string body = kValidChat;
  const auto changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes; ++i) {
    const auto from = *rc::gen::inRange<size_t>(0, body.size() + 1);
    const auto count = *rc::gen::inRange<size_t>(0, 12);
    body.replace(from, count, *rc::gen::elementOf(kFragments));
  }
  return body;
}

// A valid body in which the value of one member, at any depth, is replaced by
// a fragment.
std::string BodyWithWrongMember() {
  const json valid = json::parse(kValidChat);
  const json flat = valid.flatten();
  std::vector<std::string> paths = {"/messages", "/messages/0",
                                    "/messages/0/content",
                                    "/messages/0/content/0", "/stream_options"};
  for (const auto& [path, value] : flat.items()) {
    paths.push_back(path);
  }
  json changed = valid;
  changed[json::json_pointer(*rc::gen::elementOf(paths))] = "MARK";
  std::string body = changed.dump();
  const std::string placeholder = "\"MARK\"";
  return body.replace(body.find(placeholder), placeholder.size(),
                      *rc::gen::elementOf(kFragments));
}

std::string AnyPath() {
  return *rc::gen::oneOf(
      AnyBytes(), rc::gen::element<std::string>(kChatPath, kCompletionsPath));
}

// Checks that the problem is a valid answer of status 4xx and outcome not_run.
void CheckIsClientError(const Problem& problem) {
  RC_ASSERT(problem.status >= 400);
  RC_ASSERT(problem.status < 500);
  RC_ASSERT(problem.outcome == Outcome::kNotRun);
  const ExchangeHead head = ProblemHead(problem, kRequest);
  RC_ASSERT(FindHeader(head.headers, "content-type") ==
            "application/problem+json");
  const json body = json::parse(ProblemBody(problem, kRequest));
  RC_ASSERT(body["outcome"] == "not_run");
  RC_ASSERT(body["status"] == problem.status);
  RC_ASSERT(!body["detail"].get<std::string>().empty());
}

bool Contains(const Headers& headers, const std::string& text) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return header.first.find(text) != std::string::npos ||
           header.second.find(text) != std::string::npos;
  });
}

Problem ProblemOf(const std::string& body) {
  const auto result = ParseCompletion(kChatPath, body);
  REQUIRE(std::holds_alternative<Problem>(result));
  return std::get<Problem>(result);
}

}  // namespace

TEST_CASE("any body is parsed or refused as the caller's error") {
  const auto check = [](const std::string& path, const std::string& body) {
    const auto result = ParseCompletion(path, body);
    if (const auto* problem = std::get_if<Problem>(&result)) {
      CheckIsClientError(*problem);
      return;
    }
    const auto& request = std::get<CompletionRequest>(result);
    RC_ASSERT(request.max_tokens >= 1);
    RC_ASSERT(request.chat == (path == kChatPath));
  };
  CHECK(rc::check("any bytes", [&] { check(AnyPath(), *AnyBytes()); }));
  CHECK(rc::check("a body with spans replaced",
                  [&] { check(AnyPath(), MutatedBody()); }));
  CHECK(rc::check("a body with a wrong member",
                  [&] { check(kChatPath, BodyWithWrongMember()); }));
}

TEST_CASE(
    "any target, host and method matches only a route's prefix or nothing") {
  config::Declaration declaration;
  declaration.routes = {{.name = {"desk"},
                         .path_prefix = "/tickets",
                         .service = {"ticket-desk"}}};
  const core::RouteTable routes(declaration);
  const auto targets = rc::gen::map(
      rc::gen::container<std::vector<std::string>>(rc::gen::oneOf(
          AnyBytes(),
          rc::gen::element<std::string>("/", "tickets", "..", ".", "%2f", "%2e",
                                        "%", "%00", "?", "#", "//"))),
      [](const std::vector<std::string>& parts) {
        std::string target;
        for (const std::string& part : parts) {
          target += part;
        }
        return target;
      });
  CHECK(rc::check("any target", [&] {
    const std::string target = *targets;
    const auto result = routes.Match(*AnyBytes(), target, *AnyBytes());
    if (std::holds_alternative<core::RouteFound>(result)) {
      RC_ASSERT(target.starts_with("/tickets"));
      RC_ASSERT(target.find("..") >= target.find('?'));
    }
  }));
}

TEST_CASE("deeply nested JSON doesn't overflow the stack") {
  constexpr size_t kDepth = 1000000;
  const std::string deep = Nested("[", "", "]", kDepth);

  SUBCASE("as the whole body") {
    CHECK(ProblemOf(deep).status == 400);
    CHECK(ProblemOf(std::string(kDepth, '[')).status == 400);
    CHECK(ProblemOf(Nested("{\"a\":", "1", "}", kDepth)).status == 400);
  }

  SUBCASE("as the type of a content part") {
    CHECK(ProblemOf(R"({"model":"m","messages":[{"role":"user","content":)"
                    R"([{"type":)" +
                    deep + "}]}]}")
              .status == 400);
  }

  SUBCASE("as any other member") {
    for (const char* name :
         {"model", "messages", "max_tokens", "stream", "n", "stream_options"}) {
      json valid = json::parse(kValidChat);
      valid[name] = "MARK";
      std::string body = valid.dump();
      body.replace(body.find("\"MARK\""), 6, deep);
      const auto result = ParseCompletion(kChatPath, body);
      CAPTURE(name);
      CHECK(std::holds_alternative<Problem>(result));
    }
  }

  SUBCASE("while a member that isn't read may be nested") {
    std::string body = kValidChat;
    body.insert(1, R"("other":)" + Nested("[", "", "]", 100) + ",");
    CHECK(std::holds_alternative<CompletionRequest>(
        ParseCompletion(kChatPath, body)));
  }
}

// Such a body needs many times its size once it is parsed.
TEST_CASE("a body that has too many values is refused") {
  const auto widen = [](size_t values) {
    std::string list = R"("other":[0)";
    for (size_t i = 1; i < values; ++i) {
      list += ",0";
    }
    std::string body = kValidChat;
    return body.insert(1, list + "],");
  };
  CHECK(std::holds_alternative<CompletionRequest>(
      ParseCompletion(kChatPath, widen(base::kMaxForeignValues / 2))));
  CHECK(ProblemOf(widen(base::kMaxForeignValues + 1)).status == 400);
}

TEST_CASE("any headers are parsed or refused as the caller's error") {
  const auto names = rc::gen::oneOf(
      AnyBytes(), rc::gen::element<std::string>(
                      "Authorization", "authorization ", "AUTHORIZATION\t",
                      "Proxy-Authorization", "X-Api-Key", "Idempotency-Key",
                      "x-request-deadline-ms", "Content-Length"));
  const auto values = rc::gen::oneOf(
      AnyBytes(),
      rc::gen::element<std::string>(
          "", " ", "Bearer", "Bearer ", "bearer k", "Basic a", "0", "-1", "1",
          "+1", "1e3", "60000", "60001", "99999999999999999999", "1 ",
          "Bearer " + std::string(100000, 'k')));
  CHECK(rc::check("any headers", [&] {
    const Headers headers =
        *rc::gen::container<Headers>(rc::gen::pair(names, values));
    const auto key = ParseBearerKey(headers);
    if (const auto* problem = std::get_if<Problem>(&key)) {
      CheckIsClientError(*problem);
    }
    const auto deadline = ParseDeadline(headers, kMaxDeadline);
    if (const auto* problem = std::get_if<Problem>(&deadline)) {
      CheckIsClientError(*problem);
    } else if (const auto& parsed_deadline =
                   std::get<std::optional<base::Milliseconds>>(deadline)) {
      RC_ASSERT(parsed_deadline->count() >= 1);
      RC_ASSERT(*parsed_deadline <= kMaxDeadline);
    }
  }));
}

TEST_CASE("the caller's key is not forwarded to a plain service") {
  const std::string key = "cvk_0123456789abcdef";
  CHECK(rc::check("any case, padding and number of key headers", [&] {
    const auto padding = rc::gen::element<std::string>("", " ", "\t", "\r\n");
    Headers headers = {{"Accept", "*/*"}};
    const int count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < count; ++i) {
      std::string name = *rc::gen::element<std::string>(
          "Authorization", "Proxy-Authorization", "X-Api-Key");
      for (char& letter : name) {
        letter = static_cast<char>(
            *rc::gen::arbitrary<bool>() ? toupper(letter) : tolower(letter));
      }
      headers.emplace_back(*padding + name + *padding, "Bearer " + key);
    }
    const Headers forwarded = ForwardedHeaders(headers);
    RC_ASSERT(!Contains(forwarded, key));
    RC_ASSERT(FindHeader(forwarded, "accept") == "*/*");
  }));

  SUBCASE("in a header with white space before the colon") {
    CHECK(ForwardedHeaders({{"Authorization ", "Bearer " + key}}).empty());
  }

  SUBCASE("after a line break in another header's value") {
    CHECK(ForwardedHeaders({{"X-Note", "a\nAuthorization: Bearer " + key}})
              .empty());
  }
}

}  // namespace carawayvalve::entry
