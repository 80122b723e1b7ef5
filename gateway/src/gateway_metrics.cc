#include "gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace carawayvalve::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries& DurationBuckets() {
  static const prometheus::Histogram::BucketBoundaries kSeconds = {
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.4,   0.6,   0.8,   1,    2,    5};
  return kSeconds;
}

double ToSeconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

struct GatewayMetrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& answers =
      prometheus::BuildCounter()
          .Name("carawayvalve_answers_total")
          .Help("Final answers by route and status; 0 was broken off")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("carawayvalve_attempts_total")
          .Help("Attempts at backend servers by how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& backend_answers =
      prometheus::BuildCounter()
          .Name("carawayvalve_backend_answers_total")
          .Help("Backend servers' answers by framing and how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& undelivered_answers =
      prometheus::BuildCounter()
          .Name("carawayvalve_undelivered_answers_total")
          .Help("Answers that callers didn't receive completely, by why")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& skipped_answers =
      prometheus::BuildCounter()
          .Name("carawayvalve_skipped_answers_total")
          .Help("Answers to others than the request on their connection")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& placements =
      prometheus::BuildCounter()
          .Name("carawayvalve_placements_total")
          .Help("Choices of backend servers by estimated cost: lowest or equal")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& backend_requests =
      prometheus::BuildCounter()
          .Name("carawayvalve_backend_requests_total")
          .Help("Requests to backend servers by kind")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& retries =
      prometheus::BuildCounter()
          .Name("carawayvalve_retries_total")
          .Help("Retries charged to the shared budget, or denied")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& account_refusals =
      prometheus::BuildCounter()
          .Name("carawayvalve_account_refusals_total")
          .Help("Requests beyond their accounts' rate limits")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& store_calls =
      prometheus::BuildCounter()
          .Name("carawayvalve_store_calls_total")
          .Help("Calls to the store by how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& unreadable =
      prometheus::BuildCounter()
          .Name("carawayvalve_unreadable_objects_total")
          .Help("Objects of the store that can't be read, by kind")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& registry_fetches =
      prometheus::BuildCounter()
          .Name("carawayvalve_registry_fetches_total")
          .Help("Changes of backend servers asked of a peer, by how it ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& plan_fetches =
      prometheus::BuildCounter()
          .Name("carawayvalve_plan_fetches_total")
          .Help("Configurations asked of a peer, by how it ended")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& platform_calls =
      prometheus::BuildGauge()
          .Name("carawayvalve_platform_calls")
          .Help("Calls to the platform by what for and how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& streams_taken_up =
      prometheus::BuildCounter()
          .Name("carawayvalve_streams_taken_up_total")
          .Help("Streams that callers took up, by whether they may go on")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& recent_states =
      prometheus::BuildCounter()
          .Name("carawayvalve_recent_states_total")
          .Help(
              "Calls to store and read what outlives the loss of all gateways")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& crash_states =
      prometheus::BuildCounter()
          .Name("carawayvalve_crash_states_total")
          .Help("Calls for what is known of crashes, by outcome.")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& first_answer =
      prometheus::BuildHistogram()
          .Name("carawayvalve_first_answer_seconds")
          .Help("From the request to the first event or the whole answer")
          .Register(registry);
  prometheus::Histogram& overhead =
      prometheus::BuildHistogram()
          .Name("carawayvalve_own_time_seconds")
          .Help("Time that this process adds to a backend server's answer")
          .Register(registry)
          .Add({}, DurationBuckets());
  prometheus::Family<prometheus::Histogram>& state_age =
      prometheus::BuildHistogram()
          .Name("carawayvalve_belief_age_seconds")
          .Help("Age of a belief when it decided something, by source")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("carawayvalve_state")
          .Help("What this process knows and has under way")
          .Register(registry);
};

GatewayMetrics::GatewayMetrics() : families(std::make_unique<Families>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::CountAnswer(const std::string& route, int status) {
  this->families->answers
      .Add({{"route", route}, {"status", std::to_string(status)}})
      .Increment();
}

void GatewayMetrics::ObserveFirstAnswer(const std::string& route,
                                        base::Duration time) {
  this->families->first_answer.Add({{"route", route}}, DurationBuckets())
      .Observe(ToSeconds(time));
}

void GatewayMetrics::ObserveOverhead(base::Duration time) {
  this->families->overhead.Observe(ToSeconds(time));
}

void GatewayMetrics::CountAttempt(const std::string& outcome) {
  this->families->attempts.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountBackendAnswer(const std::string& framing,
                                        const std::string& end) {
  this->families->backend_answers.Add({{"framing", framing}, {"end", end}})
      .Increment();
}

void GatewayMetrics::CountUndeliveredAnswer(const std::string& end) {
  this->families->undelivered_answers.Add({{"end", end}}).Increment();
}

void GatewayMetrics::CountSkippedAnswer(const std::string& kind) {
  this->families->skipped_answers.Add({{"kind", kind}}).Increment();
}

void GatewayMetrics::CountPlacement(bool passed_over_lowest) {
  this->families->placements
      .Add({{"choice", passed_over_lowest ? "equal" : "lowest"}})
      .Increment();
}

void GatewayMetrics::CountBackendRequest(const std::string& kind) {
  this->families->backend_requests.Add({{"kind", kind}}).Increment();
}

void GatewayMetrics::CountRetry(const std::string& outcome) {
  this->families->retries.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountAccountRefusal(const std::string& reason) {
  this->families->account_refusals.Add({{"reason", reason}}).Increment();
}

void GatewayMetrics::CountStoreCall(const std::string& outcome) {
  this->families->store_calls.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountUnreadable(const std::string& kind,
                                     const std::string& what) {
  this->families->unreadable.Add({{"kind", kind}, {"what", what}}).Increment();
}

void GatewayMetrics::CountRegistryFetch(const std::string& outcome) {
  this->families->registry_fetches.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountPlanFetch(const std::string& outcome) {
  this->families->plan_fetches.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::SetPlatformCalls(const std::string& call,
                                      const std::string& outcome,
                                      int64_t count) {
  this->families->platform_calls.Add({{"call", call}, {"outcome", outcome}})
      .Set(static_cast<double>(count));
}

void GatewayMetrics::CountStreamTakenUp(const std::string& outcome) {
  this->families->streams_taken_up.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountRecentState(const std::string& outcome) {
  this->families->recent_states.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountCrashState(const std::string& outcome) {
  this->families->crash_states.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::ObserveStateAge(const std::string& source,
                                     base::Duration age) {
  this->families->state_age.Add({{"source", source}}, DurationBuckets())
      .Observe(ToSeconds(age));
}

void GatewayMetrics::SetGauge(const std::string& name, double value) {
  this->families->gauges.Add({{"name", name}}).Set(value);
}

std::string GatewayMetrics::Print() const {
  return prometheus::TextSerializer().Serialize(
      this->families->registry.Collect());
}

}  // namespace carawayvalve::gateway
