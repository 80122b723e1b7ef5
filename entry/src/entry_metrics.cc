#include "entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "carawayvalve/base/time.h"

namespace carawayvalve::entry {

namespace {

const char* OutcomeLabel(const core::FinishRequest& finish) {
  if (finish.whole) {
    return "whole";
  }
  switch (finish.failure) {
    case core::FailureKind::kNotRun:
      return "not_run";
    case core::FailureKind::kUnknownOutcome:
      return "unknown_outcome";
    case core::FailureKind::kIncomplete:
      return "incomplete";
  }
  return "unknown_outcome";
}

const prometheus::Histogram::BucketBoundaries& DurationBuckets() {
  static const prometheus::Histogram::BucketBoundaries kSeconds = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
      0.5,   1,     2,     5,    10,   20,   60,  120};
  return kSeconds;
}

}  // namespace

struct EntryMetrics::Metrics {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& finished =
      prometheus::BuildCounter()
          .Name("carawayvalve_requests_total")
          .Help("Admitted requests by how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refused =
      prometheus::BuildCounter()
          .Name("carawayvalve_refusals_total")
          .Help("Requests refused before they were admitted, by status")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& account_refusals =
      prometheus::BuildCounter()
          .Name("carawayvalve_account_refusals_total")
          .Help("Requests beyond their accounts' rate limits")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& duration =
      prometheus::BuildHistogram()
          .Name("carawayvalve_request_duration_seconds")
          .Help("From admission to the end of the answer")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& usage_reports =
      prometheus::BuildCounter()
          .Name("carawayvalve_usage_reports_total")
          .Help("Sendings of usage reports by how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("carawayvalve_state")
          .Help("Requests in flight, generation in force, ready servers")
          .Register(registry);
};

EntryMetrics::EntryMetrics() : metrics(std::make_unique<Metrics>()) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::CountRefusal(int status) {
  this->metrics->refused.Add({{"status", std::to_string(status)}}).Increment();
}

void EntryMetrics::CountAccountRefusal(const char* reason) {
  this->metrics->account_refusals.Add({{"reason", reason}}).Increment();
}

std::function<void(const core::FinishRequest&)> EntryMetrics::TrackRequest(
    const base::ServiceId& service) {
  const base::Instant started_at = base::Now();
  return [this, service, started_at](const core::FinishRequest& finish) {
    this->metrics->finished
        .Add({{"service", service.value}, {"outcome", OutcomeLabel(finish)}})
        .Increment();
    const std::chrono::duration<double> seconds = base::Now() - started_at;
    this->metrics->duration.Add({{"service", service.value}}, DurationBuckets())
        .Observe(seconds.count());
  };
}

void EntryMetrics::CountUsageReport(const char* outcome) {
  this->metrics->usage_reports.Add({{"outcome", outcome}}).Increment();
}

void EntryMetrics::SetGauges(int64_t in_flight,
                             int64_t configuration_generation,
                             int64_t backend_servers_ready) {
  const auto set = [&](const char* of, int64_t value) {
    this->metrics->gauges.Add({{"of", of}}).Set(static_cast<double>(value));
  };
  set("requests_in_flight", in_flight);
  set("configuration_generation", configuration_generation);
  set("backend_servers_ready", backend_servers_ready);
}

std::string EntryMetrics::Print() const {
  return prometheus::TextSerializer().Serialize(
      this->metrics->registry.Collect());
}

}  // namespace carawayvalve::entry
