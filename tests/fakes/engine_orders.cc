#include "engine_orders.h"

#include <algorithm>

#include "faults.h"

namespace carawayvalve::fakes {

using nlohmann::json;

namespace {

bool IsRole(const std::string& role) {
  return role.empty() || role == "mixed" || role == "prefill" ||
         role == "decode";
}

json Normalise(const json& order) {
  return {{"fencing_token", order.value("fencing_token", int64_t{0})},
          {"role", order.value("role", "")},
          {"model", order.value("model", "")},
          {"version", order.value("version", "")}};
}

}  // namespace

EngineOrders::EngineOrders(EngineModel& model,
                           base::Milliseconds change_time,
                           bool checks_fencing,
                           std::stop_token stop)
    : model(model),
      change_time(change_time),
      checks_fencing(checks_fencing),
      stop(std::move(stop)) {}

Reply EngineOrders::Execute(const json& order) {
  if (!IsRole(order.value("role", ""))) {
    return JsonReply(400, {{"error", "no such role"}});
  }
  const int64_t index = this->Begin(Normalise(order));
  if (index < 0) {
    return JsonReply(409, {{"error", "the fencing token is old"}});
  }
  this->End(static_cast<size_t>(index));
  return JsonReply(200, json::object());
}

int64_t EngineOrders::Begin(const json& order) {
  const std::lock_guard lock(this->mutex);
  const auto token = order.at("fencing_token").get<int64_t>();
  if (this->checks_fencing && token < this->highest_token) {
    this->refused += 1;
    return -1;
  }
  this->highest_token = std::max(this->highest_token, token);
  this->conflicts += this->in_progress > 0 ? 1 : 0;
  this->in_progress += 1;
  this->orders.push_back(order);
  this->orders.back()["start_ms"] = this->Elapsed();
  this->orders.back()["end_ms"] = nullptr;
  return static_cast<int64_t>(this->orders.size()) - 1;
}

void EngineOrders::End(size_t index) {
  json order;
  bool takes_time = false;
  {
    const std::lock_guard lock(this->mutex);
    order = this->orders[index];
    takes_time = this->ChangesAnything(order);
  }
  const auto model_name = order.at("model").get<std::string>();
  this->model.BeginChange();
  if (takes_time) {
    SleepUnlessStopped(this->stop, this->change_time.count());
  }
  this->model.EndChange(order.at("role"), model_name);
  const std::lock_guard lock(this->mutex);
  const auto version = order.at("version").get<std::string>();
  if (!version.empty()) {
    this->versions[model_name] = version;
  }
  this->in_progress -= 1;
  this->orders[index]["end_ms"] = this->Elapsed();
}

bool EngineOrders::ChangesAnything(const json& order) const {
  const auto role = order.at("role").get<std::string>();
  const auto model_name = order.at("model").get<std::string>();
  const auto version = order.at("version").get<std::string>();
  if (!this->model.IsSetTo(role, model_name)) {
    return true;
  }
  const auto found = this->versions.find(model_name);
  return !version.empty() &&
         (found == this->versions.end() || found->second != version);
}

Reply EngineOrders::List() const {
  const std::lock_guard lock(this->mutex);
  return JsonReply(200, {{"orders", this->orders},
                         {"conflicts", this->conflicts},
                         {"broken_off", this->model.AbortedByChanges()},
                         {"refused", this->refused}});
}

int64_t EngineOrders::Elapsed() const {
  return base::ToMilliseconds(base::Now() - this->start);
}

}  // namespace carawayvalve::fakes
