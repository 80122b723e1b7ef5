#include "carawayvalve/config/json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "carawayvalve/base/error.h"
#include "carawayvalve/config/canonical.h"
#include "generators.h"

namespace carawayvalve::config {

using base::Fault;
using nlohmann::json;

namespace {

constexpr char kDeskDeclaration[] = R"({
  // Comments are allowed.
  "client_accounts": [{"name": "guild-north"}, {"name": "guild-south"}],
  "services": [
    {"name": "bench-models", "kind": "model", "models": ["bench-7b"]},
    {"name": "ticket-desk", "kind": "plain"}],
  "routes": [
    {"name": "desk", "path_prefix": "/tickets", "service": "ticket-desk"},
    {"name": "ask", "path_prefix": "/ask", "service": "bench-models"}],
  "engine_rules": [{"service": "bench-models"}]
})";

std::vector<Fault> FaultsOf(const json& document) {
  Declaration ignored;
  return CheckDeclaration(document.dump(), "test", ignored);
}

// Replaces one member of the document above and returns the faults.
std::vector<Fault> FaultsWith(const std::string& path, const json& value) {
  json document = base::ParseJson(kDeskDeclaration, "test");
  document[json::json_pointer(path)] = value;
  return FaultsOf(document);
}

void CheckOneFault(const std::vector<Fault>& faults,
                   const std::string& path,
                   const std::string& reason,
                   const std::string& allowed) {
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].path == path);
  CHECK(faults[0].reason.find(reason) != std::string::npos);
  CHECK(faults[0].allowed.find(allowed) != std::string::npos);
}

bool IsComplete(const Fault& fault) {
  return fault.path.starts_with('/') && !fault.reason.empty() &&
         !fault.allowed.empty();
}

}  // namespace

TEST_CASE("a declaration that passes every check") {
  SUBCASE("takes defaults for omitted members") {
    const Declaration declaration = ParseDeclaration(kDeskDeclaration, "test");
    CHECK(declaration.client_accounts[0].weight == 1);
    CHECK(declaration.routes[1].deadline_ms == 30000);
    CHECK(declaration.limits == Limits());
  }

  SUBCASE("is in the examples folder") {
    const std::filesystem::path examples = CARAWAYVALVE_EXAMPLES;
    std::ostringstream text;
    text << std::ifstream(examples / "declaration.json").rdbuf();
    const Declaration example = ParseDeclaration(text.str(), "example");
    CHECK(example.limits == Limits());
    CHECK(example.routes.size() == 3);
  }

  SUBCASE(
      "parses back to its canonical form, whatever the order of its items") {
    CHECK(
        rc::check("ParseDeclaration(PrintDeclaration(d)) == Canonical(d)", [] {
          const Declaration declaration = DrawDeclaration();
          const std::string text = PrintDeclaration(declaration);
          RC_ASSERT(ParseDeclaration(text, "test") == Canonical(declaration));
          RC_ASSERT(PrintDeclaration(Shuffle(declaration)) == text);
        }));
  }

  SUBCASE("forms with its keys a configuration that prints and parses back") {
    CHECK(rc::check("ParseConfiguration(PrintConfiguration(c)) is c", [] {
      const Configuration configuration = DrawConfiguration();
      const Configuration read =
          ParseConfiguration(PrintConfiguration(configuration), "test");
      RC_ASSERT(read == Canonical(configuration));
      RC_ASSERT(Digest(read) == Digest(configuration));
      Configuration shuffled = configuration;
      shuffled.keys = Shuffle(configuration.keys);
      RC_ASSERT(PrintConfiguration(shuffled) ==
                PrintConfiguration(configuration));
      RC_ASSERT(base::Sha256(PrintContent(read)) == Digest(read));
      Configuration next = read;
      next.generation += 1;
      RC_ASSERT(Digest(next) == Digest(read));
    }));
  }
}

TEST_CASE("an inconsistency is reported with path, reason and allowed values") {
  SUBCASE("a route whose service isn't declared") {
    CheckOneFault(FaultsWith("/routes/0/service", "desks"), "/routes/0/service",
                  "no service \"desks\"", "bench-models, ticket-desk");
  }
  SUBCASE("a path that doesn't start with a slash") {
    CheckOneFault(FaultsWith("/routes/0/path_prefix", "tickets"),
                  "/routes/0/path_prefix", "\"tickets\"", "'/'");
  }
  SUBCASE("a path that has a second spelling or matches no request") {
    for (const char* path : {"/tickets/", "//tickets", "/a/../tickets", "/.",
                             "/ticket%73", "/a\\b", "/tickets?x", ""}) {
      CheckOneFault(FaultsWith("/routes/0/path_prefix", path),
                    "/routes/0/path_prefix", "can't be", "dot segment");
    }
    CHECK(FaultsWith("/routes/0/path_prefix", "/").empty());
    CHECK(FaultsWith("/routes/0/path_prefix", "/.well-known/a..b").empty());
    CheckOneFault(FaultsWith("/routes/0/host", "desk.example."),
                  "/routes/0/host", "can't be", "lower-case");
  }
  SUBCASE("an unknown method") {
    CheckOneFault(FaultsWith("/routes/0/methods", {"GET", "FETCH"}),
                  "/routes/0/methods", "\"FETCH\"", "GET, HEAD");
  }
  SUBCASE("two routes that take the same requests") {
    CheckOneFault(FaultsWith("/routes/1/path_prefix", "/tickets"),
                  "/routes/1/path_prefix", "/routes/0", "no other route");
  }
  SUBCASE("two routes of one path with disjoint methods aren't a fault") {
    json document = base::ParseJson(kDeskDeclaration, "test");
    document["routes"][0]["methods"] = {"GET"};
    document["routes"][1]["methods"] = {"POST"};
    document["routes"][1]["path_prefix"] = "/tickets";
    CHECK(FaultsOf(document).empty());

    SUBCASE("unless they share a method") {
      document["routes"][1]["methods"] = {"GET", "POST"};
      CheckOneFault(FaultsOf(document), "/routes/1/path_prefix", "GET /tickets",
                    "no other route");
    }
  }
  SUBCASE("a duplicate name") {
    CheckOneFault(FaultsWith("/routes/1/name", "desk"), "/routes/1/name",
                  "taken by /routes/0", "no other item");
    CheckOneFault(FaultsWith("/client_accounts/1/name", "guild-north"),
                  "/client_accounts/1/name", "taken", "no other item");
  }
  SUBCASE("a model that two services declare") {
    const json other = {
        {"name", "more"}, {"kind", "model"}, {"models", {"bench-7b"}}};
    CheckOneFault(FaultsWith("/services/2", other), "/services/2/models",
                  "/services/0", "no other service");
  }
  SUBCASE("a member that doesn't apply to the service's kind") {
    CheckOneFault(FaultsWith("/services/1/models", {"bench-8b"}),
                  "/services/1/models", "plain service", "\"model\"");
    CheckOneFault(FaultsWith("/services/0/models", json::array()),
                  "/services/0/models", "is empty", "at least one");
    CheckOneFault(FaultsWith("/engine_rules/0/service", "ticket-desk"),
                  "/engine_rules/0/service", "plain service", "bench-models");
  }
  SUBCASE("a minimum above the maximum") {
    json document = base::ParseJson(kDeskDeclaration, "test");
    document["services"][0]["min_backend_servers"] = 3;
    document["services"][0]["max_backend_servers"] = 2;
    CheckOneFault(FaultsOf(document), "/services/0/min_backend_servers",
                  "above max_backend_servers", "0 to 2");
  }
  SUBCASE("role minimums whose sum exceeds the maximum number of engines") {
    CheckOneFault(FaultsWith("/engine_rules/0/min_decode_engines", 2),
                  "/engine_rules/0/min_prefill_engines", "together", "0 to 1");
  }
  SUBCASE("a rate limit") {
    const std::string path = "/client_accounts/0/rate_limit";
    json limit = {{"unit", "tokens"},
                  {"per_second", 0.5},
                  {"burst", 200},
                  {"default_tokens", 200}};
    CHECK(FaultsWith(path, limit).empty());
    CHECK(FaultsWith(path,
                     {{"unit", "requests"}, {"per_second", 2}, {"burst", 1}})
              .empty());
    SUBCASE("that counts something unknown") {
      limit["unit"] = "bytes";
      CheckOneFault(FaultsWith(path, limit), path + "/unit", "bytes",
                    "requests");
    }
    SUBCASE("that lets nothing run") {
      limit["per_second"] = 0;
      CheckOneFault(FaultsWith(path, limit), path + "/per_second", "0", "1");
      limit["per_second"] = 1;
      limit["burst"] = 0;
      limit["default_tokens"] = 1;
      CheckOneFault(FaultsWith(path, limit), path + "/burst", "0", "1");
    }
    SUBCASE("that refuses all requests that name no tokens") {
      limit["default_tokens"] = 201;
      CheckOneFault(FaultsWith(path, limit), path + "/default_tokens",
                    "above burst", "1 to 200");
    }
    SUBCASE("of tokens that doesn't say what other requests count") {
      limit.erase("default_tokens");
      CheckOneFault(FaultsWith(path, limit), path + "/default_tokens", "", "");
    }
  }
  SUBCASE("a deadline above the limit") {
    json document = base::ParseJson(kDeskDeclaration, "test");
    document["limits"] = {{"max_deadline_ms", 20000}};
    document["routes"][0]["deadline_ms"] = 20001;
    CheckOneFault(FaultsOf(document), "/routes/0/deadline_ms", "out of range",
                  "1 to 20000");
  }
  SUBCASE("a body that wouldn't fit in a message between processes") {
    CHECK(FaultsWith("/limits", {{"max_body_bytes", kMaxBodyBytes}}).empty());
    CheckOneFault(
        FaultsWith("/limits", {{"max_body_bytes", kMaxBodyBytes + 1}}),
        "/limits/max_body_bytes", "out of range: 8388609", "1 to 8388608");
  }
  SUBCASE("a key whose account isn't declared") {
    Configuration configuration;
    configuration.declaration = ParseDeclaration(kDeskDeclaration, "test");
    const base::ClientAccountId gone{"guild-west"};
    configuration.keys = {{base::Sha256("k"), gone, "bench 3"}};
    CheckOneFault(CheckConfiguration(configuration), "/keys/0/client_account",
                  "\"guild-west\"", "withdraw the keys");
    CHECK_THROWS_AS(
        ParseConfiguration(PrintConfiguration(configuration), "test"),
        base::Error);
  }
  SUBCASE("a key that couldn't be parsed back") {
    Configuration configuration;
    configuration.declaration = ParseDeclaration(kDeskDeclaration, "test");
    configuration.keys = {{base::Sha256("k"), {"guild-north"}, ""}};
    CheckOneFault(CheckConfiguration(configuration), "/keys/0/label",
                  "can't be", "1 to 128 bytes");
  }
  SUBCASE("all faults are reported at once") {
    json document = base::ParseJson(kDeskDeclaration, "test");
    document["services"][0]["kind"] = "modle";
    document["routes"][0]["service"] = "desks";
    document["routes"][1]["colour"] = "red";
    CHECK(FaultsOf(document).size() == 3);
  }
}

TEST_CASE("a corrupted document") {
  SUBCASE("with one value of a wrong type yields faults with all parts") {
    CHECK(rc::check("every fault has its path, reason and allowed values", [] {
      const json document = json::parse(PrintDeclaration(DrawDeclaration()));
      const json wrong = *rc::gen::element<json>(
          json(nullptr), json(-1), json(1e300), json::array({json::object()}),
          json{{"a", 1}}, json("\n"));
      const json leaves = document.flatten();
      for (const auto& [path, value] : leaves.items()) {
        // Represents an empty array, which has no value to corrupt.
        if (value.is_null()) {
          continue;
        }
        json corrupted = document;
        corrupted[json::json_pointer(path)] = wrong;
        const std::vector<Fault> faults = FaultsOf(corrupted);
        RC_LOG() << path << " as " << wrong.dump();
        RC_ASSERT(!faults.empty());
        RC_ASSERT(std::all_of(faults.begin(), faults.end(), IsComplete));
      }
    }));
  }

  SUBCASE("that isn't JSON throws nothing but base::Error") {
    CHECK(rc::check("a text with bytes changed is read or refused", [] {
      std::string text = Draw(0, 1) == 0
                             ? PrintConfiguration(DrawConfiguration())
                             : *rc::gen::arbitrary<std::string>();
      for (int64_t i = Draw(1, 4); i > 0 && !text.empty(); --i) {
        text[Draw(0, text.size() - 1)] = static_cast<char>(Draw(0, 255));
      }
      try {
        ParseConfiguration(text, "test");
        ParseDeclaration(text, "test");
      } catch (const base::Error& error) {
        RC_ASSERT(error.peer() == "test");
      }
    }));
    CHECK_THROWS_AS(ParseDeclaration("{\"limits\": 1e999}", "test"),
                    base::Error);
    CHECK_THROWS_AS(ParseDeclaration("[]", "test"), base::Error);
    CHECK_THROWS_WITH_AS(
        ParseDeclaration(R"({"routes": [], "routes": []})", "test"),
        doctest::Contains("\"routes\" twice"), base::Error);
    const std::string deep = std::string(300000, '[');
    const std::string closed = deep + std::string(deep.size(), ']');
    CHECK_THROWS_AS(
        ParseDeclaration(R"({"services":[{"kind":)" + closed + "}]}", "test"),
        base::Error);
  }
}

TEST_CASE("Diff") {
  const Declaration from = ParseDeclaration(kDeskDeclaration, "test");

  SUBCASE("names each path with the old and the new value") {
    Declaration to = from;
    to.client_accounts[1].weight = 4;
    to.routes[0].methods = {"POST", "GET"};
    CHECK(Diff(from, to) ==
          std::vector<std::string>{
              "/client_accounts/guild-south/weight: 1 -> 4",
              "/routes/ask/methods: [] -> [\"GET\",\"POST\"]"});
  }
  SUBCASE("shows added and removed items") {
    Declaration to = from;
    to.engine_rules.clear();
    CHECK(Diff(from, to).front() ==
          "/engine_rules/bench-models/change_roles: true -> (absent)");
    CHECK(Diff(to, from).front() ==
          "/engine_rules/bench-models/change_roles: (absent) -> true");
  }
  SUBCASE("is empty only for equal declarations") {
    CHECK(rc::check("Diff(a, b) is empty as a and b print alike", [] {
      const Declaration left = DrawDeclaration();
      RC_ASSERT(Diff(left, Shuffle(left)).empty());
      const Declaration other = DrawDeclaration();
      Declaration right = left;
      switch (Draw(0, 3)) {
        case 0:
          right.client_accounts = other.client_accounts;
          break;
        case 1:
          right.routes = other.routes;
          break;
        case 2:
          right.engine_rules = other.engine_rules;
          break;
        default:
          right.limits = other.limits;
      }
      RC_ASSERT(Diff(left, right).empty() ==
                (Canonical(left) == Canonical(right)));
    }));
  }
}

}  // namespace carawayvalve::config
