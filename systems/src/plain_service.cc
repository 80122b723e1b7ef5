#include "carawayvalve/systems/plain_service.h"

#include <limits>
#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

namespace {

constexpr base::Milliseconds kCallTimeout{1000};

}  // namespace

PlainService::PlainService(std::string address) : address(std::move(address)) {}

int64_t PlainService::RunningRequests() const {
  const detail::CallSite site{"read load", this->address};
  const HttpRequest request =
      detail::MakeRequest(site, "GET", "/load", kCallTimeout);
  const nlohmann::json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  return detail::ReadObject(site, document, [](base::FieldReader& fields) {
    return fields.Integer("running_requests", 0,
                          std::numeric_limits<int64_t>::max());
  });
}

}  // namespace carawayvalve::systems
