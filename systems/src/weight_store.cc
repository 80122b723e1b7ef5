#include "carawayvalve/systems/weight_store.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

namespace {

constexpr base::Milliseconds kLookUpTimeout = base::Milliseconds(5000);
constexpr int64_t kMinRetrySeconds = 1;
constexpr int64_t kMaxRetrySeconds = 3600;

// Parses the seconds of a Retry-After header; a date yields the minimum.
base::Milliseconds ReadRetryAfter(const std::string& text) {
  int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(
      std::clamp(seconds, kMinRetrySeconds, kMaxRetrySeconds));
}

}  // namespace

WeightStore::WeightStore(std::string address) : address(std::move(address)) {}

WeightAnswer WeightStore::LookUp(const std::string& model,
                                 const std::string& version) const {
  const detail::CallSite site{"look up weights", this->address};
  const std::string path = "/weights/" + detail::EscapeSegment(model) + "/" +
                           detail::EscapeSegment(version);
  const HttpResponse response = HttpCall(
      site.step, detail::MakeRequest(site, "GET", path, kLookUpTimeout));
  if (response.status == detail::kTooManyRequests) {
    return {0, ReadRetryAfter(FindHeader(response.headers, "Retry-After"))};
  }
  if (response.status != detail::kOk) {
    detail::ThrowUnexpectedStatus(site, response.status);
  }
  const nlohmann::json document = detail::ParseBody(site, response.body);
  const int64_t bytes =
      ReadObject(site, document, [](base::FieldReader& fields) {
        return fields.Integer("bytes", 1, std::numeric_limits<int64_t>::max());
      });
  return {bytes, base::Milliseconds(0)};
}

}  // namespace carawayvalve::systems
