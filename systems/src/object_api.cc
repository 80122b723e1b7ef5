#include "carawayvalve/systems/object_api.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

using base::FieldReader;
using base::UnknownOutcomeError;
using detail::CallSite;
using nlohmann::json;

namespace {

constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();
constexpr char kEraHeader[] = "Store-Era";

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/objects/" + detail::EscapeSegment(kind) + "/" +
         detail::EscapeSegment(name);
}

int64_t ReadVersion(const CallSite& site, const json& document) {
  return ReadObject(site, document, [](FieldReader& fields) {
    return fields.Integer("version", 0, kMaxVersion);
  });
}

Object ReadListEntry(FieldReader& fields) {
  Object object;
  object.name = fields.String("name");
  object.version = fields.Integer("version", 0, kMaxVersion);
  object.deleted = fields.Boolean("deleted", false);
  // A deleted object may lack its value.
  object.value =
      object.deleted ? fields.String("value", "") : fields.String("value");
  return object;
}

ObjectList ReadList(const CallSite& site, const std::string& body) {
  const json document = detail::ParseBody(site, body);
  ObjectList list;
  list.revision = ReadObject(site, document, [](FieldReader& fields) {
    return fields.Integer("revision", 0, kMaxVersion);
  });
  list.objects = ReadArray(site, document, "objects", ReadListEntry);
  return list;
}

}  // namespace

ObjectApi::ObjectApi(std::string address, base::Milliseconds timeout)
    : address(std::move(address)), timeout(timeout) {}

int64_t ObjectApi::NoteEra(const std::string& step,
                           const HttpResponse& response) const {
  const std::string text = FindHeader(response.headers, kEraHeader);
  int64_t answered = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, answered);
  if (read.ec != std::errc() || read.ptr != end) {
    return 0;
  }
  int64_t newest = *this->era;
  while (newest < answered &&
         !this->era->compare_exchange_weak(newest, answered)) {
  }
  if (answered < newest) {
    throw UnknownOutcomeError(step, this->address,
                              "the answer is of an earlier era of the store");
  }
  return answered;
}

std::optional<Object> ObjectApi::Get(const std::string& kind,
                                     const std::string& name) const {
  const CallSite site{"get object", this->address};
  HttpRequest request =
      detail::MakeRequest(site, "GET", ObjectPath(kind, name), this->timeout);
  // A value has up to a megabyte.
  request.period = this->timeout;
  const HttpResponse response = HttpCall(site.step, request);
  const int64_t answered_era = this->NoteEra(site.step, response);
  if (response.status == detail::kNotFound) {
    return std::nullopt;
  }
  if (response.status != detail::kOk) {
    detail::ThrowUnexpectedStatus(site, response.status);
  }
  const json document = detail::ParseBody(site, response.body);
  return ReadObject(site, document, [&](FieldReader& fields) {
    Object object;
    object.name = name;
    object.version = fields.Integer("version", 1, kMaxVersion);
    object.value = fields.String("value");
    object.era = answered_era;
    return object;
  });
}

ObjectList ObjectApi::List(const std::string& kind) const {
  const CallSite site{"list objects", this->address};
  const std::string path = "/objects/" + detail::EscapeSegment(kind);
  const HttpRequest request =
      detail::MakeRequest(site, "GET", path, this->timeout);
  return ReadList(site, detail::CallForOk(site, request));
}

UpdateResult ObjectApi::Put(const std::string& kind,
                            const std::string& name,
                            const std::string& value,
                            int64_t if_version) const {
  const CallSite site{"put object", this->address};
  const HttpRequest request = detail::MakeJsonRequest(
      site, "PUT", ObjectPath(kind, name),
      {{"if_version", if_version}, {"value", value}}, this->timeout);
  const HttpResponse response = HttpCall(site.step, request);
  const int64_t answered_era = this->NoteEra(site.step, response);
  if (response.status == detail::kTooLarge) {
    throw base::Error(site.step, site.peer, "the value is too large");
  }
  const bool done = response.status == detail::kOk;
  if (!done && response.status != detail::kConflict) {
    detail::ThrowUnexpectedStatus(site, response.status);
  }
  const json document = detail::ParseBody(site, response.body);
  return {done, ReadVersion(site, document), answered_era};
}

UpdateResult ObjectApi::Delete(const std::string& kind,
                               const std::string& name,
                               int64_t if_version) const {
  const CallSite site{"delete object", this->address};
  const HttpRequest request =
      detail::MakeJsonRequest(site, "DELETE", ObjectPath(kind, name),
                              {{"if_version", if_version}}, this->timeout);
  const HttpResponse response = HttpCall(site.step, request);
  if (response.status == detail::kOk) {
    return {true, 0};
  }
  if (response.status != detail::kConflict) {
    detail::ThrowUnexpectedStatus(site, response.status);
  }
  // The API may omit the current version.
  if (response.body.empty()) {
    return {false, 0};
  }
  const json document = detail::ParseBody(site, response.body);
  const int64_t version = ReadObject(site, document, [](FieldReader& fields) {
    return fields.Integer("version", 0, kMaxVersion, 0);
  });
  return {false, version};
}

ObjectList ObjectApi::Watch(const std::string& kind,
                            int64_t revision,
                            base::Milliseconds wait) const {
  const CallSite site{"watch objects", this->address};
  const std::string path = "/watch/" + detail::EscapeSegment(kind) +
                           "?from=" + std::to_string(revision) +
                           "&wait_ms=" + std::to_string(wait.count());
  const HttpRequest request =
      detail::MakeRequest(site, "GET", path, wait + this->timeout);
  return ReadList(site, detail::CallForOk(site, request));
}

UpdateResult ObjectApi::PutAndConfirm(const std::string& kind,
                                      const std::string& name,
                                      const std::string& value,
                                      int64_t if_version) const {
  std::string lost_reason;
  try {
    return this->Put(kind, name, value, if_version);
  } catch (const UnknownOutcomeError& error) {
    lost_reason = error.reason();
  }
  std::optional<Object> current;
  try {
    current = this->Get(kind, name);
  } catch (const base::Error& error) {
    // Even if this read did not reach the API, the update may have taken
    // effect.
    throw UnknownOutcomeError("confirm put object", this->address,
                              lost_reason + "; " + error.what());
  }
  const int64_t version = current.has_value() ? current->version : 0;
  if (current.has_value() && current->value == value) {
    return {true, version};
  }
  if (version == if_version) {
    throw UnknownOutcomeError("confirm put object", this->address,
                              lost_reason + "; the object is unchanged so far");
  }
  return {false, version};
}

}  // namespace carawayvalve::systems
