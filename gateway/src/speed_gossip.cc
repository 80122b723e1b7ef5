#include "speed_gossip.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace carawayvalve::gateway {

using wire::gen::Gossip;
using wire::gen::GossipServiceSpeeds;
using wire::gen::GossipSpeedObservation;

namespace {

// An observation takes about 40 bytes, so that a gateway receives up to 50 KB/s
// of them.
constexpr double kMaxReceivedPerSecond = 1200;
constexpr double kMaxPerSecond = 60;
constexpr size_t kMaxPerMessage = 16;
constexpr int64_t kMaxLoad = 10000000;
constexpr std::chrono::seconds kMaxTime(60);

int64_t ToUs(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

base::Duration FromUs(int64_t us) {
  return std::chrono::microseconds(
      std::clamp<int64_t>(us, 0, ToUs(base::Duration(kMaxTime))));
}

// Writes what was observed of the service.
struct ObservationWriter {
  GossipSpeedObservation& encoded;

  void operator()(const core::PrefillObserved& observed) const {
    this->Set(1, observed.work, observed.time);
  }
  void operator()(const core::FirstEventObserved& observed) const {
    this->Set(2, observed.requests, observed.time);
  }
  void operator()(const core::PlainAnswerObserved& observed) const {
    this->Set(3, observed.requests, observed.time);
  }
  void operator()(const core::SlotTimeObserved& observed) const {
    this->Set(4, 0, observed.time);
  }

 private:
  void Set(int32_t kind, int64_t load, base::Duration time) const {
    this->encoded.kind = kind;
    this->encoded.load = load;
    this->encoded.time_us = ToUs(time);
  }
};

std::optional<core::SpeedObservation> FromGossip(
    const GossipSpeedObservation& received,
    const core::BackendEntry& backend) {
  const int64_t load = std::clamp<int64_t>(received.load, 0, kMaxLoad);
  const base::Duration time = FromUs(received.time_us);
  switch (received.kind) {
    case 1:
      return core::PrefillObserved{load, time};
    case 2:
      return core::FirstEventObserved{load, time};
    case 3:
      return core::PlainAnswerObserved{load, backend.slots, time};
    case 4:
      return core::SlotTimeObserved{time};
    default:
      return std::nullopt;
  }
}

GossipServiceSpeeds ToGossip(const base::ServiceId& service,
                             const core::SharedSpeeds& shared) {
  GossipServiceSpeeds encoded;
  encoded.service_name = service.value;
  encoded.prefill_tokens_per_ms = shared.speeds.prefill_tokens_per_ms;
  encoded.prefill_base_us = ToUs(shared.speeds.prefill_base);
  encoded.first_event_us = ToUs(shared.speeds.first_event);
  encoded.step_per_request_us = ToUs(shared.speeds.step_per_request);
  encoded.plain_request_us = ToUs(shared.speeds.plain_request);
  encoded.slot_time_us = ToUs(shared.speeds.slot_time);
  encoded.observations = shared.observations;
  return encoded;
}

core::SharedSpeeds FromGossip(const GossipServiceSpeeds& received) {
  core::SharedSpeeds shared;
  shared.speeds.prefill_tokens_per_ms = received.prefill_tokens_per_ms;
  shared.speeds.prefill_base = FromUs(received.prefill_base_us);
  shared.speeds.first_event = FromUs(received.first_event_us);
  shared.speeds.step_per_request = FromUs(received.step_per_request_us);
  shared.speeds.plain_request = FromUs(received.plain_request_us);
  shared.speeds.slot_time = FromUs(received.slot_time_us);
  shared.observations = received.observations;
  return shared;
}

}  // namespace

void SpeedGossip::AddTo(Gossip& gossip, size_t peers) {
  const base::Instant now = base::Now();
  const double per_second = std::min(
      kMaxPerSecond,
      kMaxReceivedPerSecond / static_cast<double>(std::max<size_t>(peers, 1)));
  const std::chrono::duration<double> passed =
      now - std::exchange(this->allowed_at, now);
  this->allowed =
      std::min(std::max(per_second, 1.0),
               this->allowed + per_second * std::min(passed.count(), 1.0));
  const auto untold = std::exchange(this->context.state.untold_speeds,
                                    std::vector<UntoldSpeed>());
  const size_t count = std::min(
      {untold.size(), kMaxPerMessage, static_cast<size_t>(this->allowed)});
  this->allowed -= static_cast<double>(count);
  for (size_t i = 0; i < count; ++i) {
    const UntoldSpeed& speed = untold[i];
    GossipSpeedObservation encoded;
    encoded.backend_server = speed.backend_server.value;
    encoded.started_ms = speed.started_ms;
    std::visit(ObservationWriter{encoded}, speed.observed);
    gossip.speed_observations.push_back(std::move(encoded));
  }
  gossip.__isset.speed_observations = !gossip.speed_observations.empty();
}

void SpeedGossip::Apply(const Gossip& gossip) {
  for (const GossipServiceSpeeds& received : gossip.service_speeds) {
    const base::ServiceId service{received.service_name};
    if (this->context.state.speeds.Adopt(service, FromGossip(received))) {
      this->context.UseSpeeds(service, gossip.host.c_str());
    }
  }
  const size_t count =
      std::min(gossip.speed_observations.size(), kMaxPerMessage);
  for (size_t i = 0; i < count; ++i) {
    this->Apply(gossip.speed_observations[i]);
  }
}

void SpeedGossip::Apply(const GossipSpeedObservation& received) {
  GatewayState& state = this->context.state;
  const core::BackendEntry* backend =
      state.directory.Find({received.backend_server});
  if (backend == nullptr || backend->started_ms != received.started_ms) {
    return;
  }
  const auto observed = FromGossip(received, *backend);
  if (observed.has_value() &&
      state.speeds.NotePeer(backend->service, *observed)) {
    this->context.UseSpeeds(backend->service, "observations");
  }
}

void SpeedGossip::AddForNewPeer(Gossip& gossip) const {
  for (const auto& [service, shared] : this->context.state.speeds.Known()) {
    gossip.service_speeds.push_back(ToGossip(service, shared));
  }
  gossip.__isset.service_speeds = !gossip.service_speeds.empty();
}

}  // namespace carawayvalve::gateway
