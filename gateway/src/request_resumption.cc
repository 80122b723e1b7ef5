#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnavailable = 503;
// Callers take a stream up within this many timeouts of its route after it has
// begun.
constexpr int64_t kStreamTimeouts = 4;

}  // namespace

base::Duration RequestHandler::TakeUpTime() const {
  return kStreamTimeouts * this->route->timeout;
}

std::string RequestHandler::StreamContent() const {
  const net::Request& request = this->exchange->request();
  return core::StreamContentDigest(
      this->account == nullptr ? base::ClientAccountId{} : this->account->name,
      request.target, request.body, this->caller.prompt);
}

std::optional<base::RequestId> RequestHandler::ResumedStream() const {
  return this->caller.resumes.has_value()
             ? std::optional(core::StreamIdOf(*this->caller.resumes))
             : std::nullopt;
}

void RequestHandler::TakeUpStream() {
  const auto self = this->shared_from_this();
  this->context.origin_lookup.Find(
      {this->ResumedStream(), this->StreamContent(), this->service,
       this->TakeUpTime()},
      [self](const core::OriginVerdict& verdict) {
        if (!self->ended) {
          self->OnStreamOrigin(verdict);
        }
      });
}

void RequestHandler::OnStreamOrigin(const core::OriginVerdict& verdict) {
  const auto* known = std::get_if<core::ContinueAtVersion>(&verdict);
  const bool is_from_store =
      known != nullptr && this->context.state.stream_origins.IsFromStore(
                              this->ResumedStream().value_or(base::RequestId{}),
                              this->StreamContent());
  this->context.metrics.CountStreamTakenUp(known == nullptr ? "refused"
                                           : is_from_store  ? "goes_on_stored"
                                                            : "goes_on");
  const base::Instant now = base::Now();
  const auto registry_age = this->context.origin_lookup.RegistryAge(now);
  this->context.journal.Write(
      base::LogLevel::kInfo, "stream_taken_up",
      {{"request", this->caller.id.value},
       {"first", this->ResumedStream().value_or(base::RequestId{}).value},
       {"content", this->StreamContent()},
       {"after", *this->caller.after_event},
       {"version", known == nullptr ? "" : known->version},
       {"proof", known == nullptr ? "" : core::NameOf(known->proof)},
       {"registry_age_ms",
        registry_age.has_value() ? base::ToMilliseconds(*registry_age) : -1},
       {"from_store", is_from_store},
       {"age_ms", this->AgeMs(now)}});
  std::visit([&](const auto& kind) { this->Perform(kind); }, verdict);
}

void RequestHandler::Perform(const core::ContinueAtVersion& verdict) {
  this->stream_version = verdict.version;
  this->Attempt();
}

void RequestHandler::Perform(const core::OriginUnknown& verdict) {
  this->Refuse(kUnavailable, verdict.reason, true);
}

void RequestHandler::NoteStream(const std::string& software_version) {
  this->context.NoteStream(
      {core::StreamIdOf(this->caller.resumes.value_or(this->caller.id)),
       software_version,
       {},
       this->StreamContent()},
      this->service, this->TakeUpTime());
}

}  // namespace carawayvalve::gateway
