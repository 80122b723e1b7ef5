#include "store_faults.h"

#include <nlohmann/json.hpp>

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

// Replaces a member of each object in an answer, whatever its depth.
void SetMember(json& value, const std::string& name, const json& to) {
  if (value.is_object() && value.contains(name)) {
    value[name] = to;
  }
  if (value.is_structured()) {
    for (json& member : value) {
      SetMember(member, name, to);
    }
  }
}

std::function<void(Store&)> Answers(const std::string& text) {
  return [text](Store& store) {
    store.on_answer = [text](std::string& answer) { answer = text; };
  };
}

// Answers each watch with a lower revision, so that the objects are listed
// again, and each list with `text`.
std::function<void(Store&)> Lists(const std::string& text) {
  return [text](Store& store) {
    store.on_answer = [text](std::string& answer) {
      answer = json::parse(answer).contains("events")
                   ? R"({"events":[],"currentRev":1})"
                   : text;
    };
  };
}

std::function<void(Store&)> Members(const std::string& name, const json& to) {
  return [name, to](Store& store) {
    store.on_answer = [name, to](std::string& answer) {
      json value = json::parse(answer);
      SetMember(value, name, to);
      answer = value.dump();
    };
  };
}

}  // namespace

std::vector<StoreFault> StoreFaults() {
  const json others = {
      {"items",
       {{{"kind", "Pod"}, {"metadata", {{"name", "p"}}}}, 7, nullptr, {1, 2}}},
      {"hasMore", false},
      {"currentRev", 1}};
  return {
      {"silent", [](Store& store) { store.silent = true; }},
      {"closes connections", [](Store& store) { store.down = true; }},
      {"503", [](Store& store) { store.refuses = true; }},
      {"404", [](Store& store) { store.status = 404; }},
      {"410", [](Store& store) { store.status = 410; }},
      {"204", [](Store& store) { store.status = 204; }},
      {"302", [](Store& store) { store.status = 302; }},
      {"an empty body", Answers("")},
      {"noise", Answers(std::string("\x00\xff\x16\x03\x01{[\"\x80", 9))},
      {"null", Answers("null")},
      {"a list", Answers("[]")},
      {"a number", Answers("1e999")},
      {"an object without members", Answers("{}")},
      {"objects of others", Answers(others.dump())},
      {"lists without members", Lists("{}")},
      {"lists that tell a fault",
       Lists(R"({"error":{"code":500,"message":"try later"}})")},
      {"a list cut off", Answers(R"({"items":[{"meta":{"name":"ma)")},
      {"revisions below zero", Members("currentRev", -1)},
      {"huge revisions", Members("currentRev", INT64_MAX)},
      {"revisions over 63 bits", Members("currentRev", UINT64_MAX)},
      {"fractions as revisions", Members("currentRev", 1e300)},
      {"revisions as text", Members("currentRev", "9")},
      {"huge revisions of objects", Members("rev", INT64_MAX)},
      {"revisions of objects below zero", Members("rev", -5)},
      {"an era below zero", [](Store& store) { store.stated_era = "-1"; }},
      {"an era over 63 bits",
       [](Store& store) { store.stated_era = "99999999999999999999"; }},
      {"an era as text", [](Store& store) { store.stated_era = "one"; }},
  };
}

void EndFaults(Store& store) {
  store.silent = false;
  store.down = false;
  store.refuses = false;
  store.status.reset();
  store.stated_era.reset();
  store.on_answer = [](std::string&) {};
}

}  // namespace carawayvalve::tests
