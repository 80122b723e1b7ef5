#include "runner.h"

#include <algorithm>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/answer_completeness.h"
#include "carawayvalve/core/answer_stream.h"
#include "carawayvalve/platform/requests.h"

namespace carawayvalve::agent {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr const char* kCallStep = "call backend server";

base::Milliseconds RemainingTime(const Job& job) {
  const auto remaining = std::chrono::duration_cast<base::Milliseconds>(
      job.deadline - base::Now());
  return std::max(remaining, base::Milliseconds(1));
}

// Returns the judge of an answer with this head.
core::AnswerCompleteness JudgeOf(
    const std::string& method,
    int status,
    const std::vector<systems::HttpHeader>& headers) {
  const std::string type = systems::FindHeader(headers, "Content-Type");
  const bool has_body =
      method != "HEAD" && status != kNoContent && status != kNotModified;
  const bool ends_with_connection =
      has_body && systems::FindHeader(headers, "Content-Length").empty() &&
      systems::FindHeader(headers, "Transfer-Encoding").empty();
  return {type.empty() ? std::nullopt : std::optional(type), false,
          ends_with_connection};
}

core::AnswerEnd ToRecord(const systems::GenerationEnd& end) {
  return {end.finish_reason, end.prompt_tokens, end.output_tokens,
          end.cached_tokens};
}

}  // namespace

Runner::Runner(AttemptService& attempts, std::string backend_address)
    : attempts(attempts),
      backend_address(std::move(backend_address)),
      log("runner") {}

void Runner::Run() {
  while (const std::optional<Job> job = this->attempts.NextJob()) {
    this->RunJob(*job);
  }
}

void Runner::RunJob(const Job& job) {
  const base::LogContext context{.request = job.request.value,
                                 .attempt = job.attempt.value,
                                 .backend_server = {},
                                 .peer = this->backend_address,
                                 .step = "run"};
  try {
    std::visit([&](const auto& call) { this->Call(job, call); }, job.call);
  } catch (const base::NotReachedError& error) {
    this->log.Warn("The backend server was not reached.", context);
    this->attempts.MarkNotRun(job.attempt, "the backend server is down");
  } catch (const base::UnreadableAnswerError& error) {
    this->log.Warn(std::string("The answer can't be read: ") + error.what(),
                   context);
    this->attempts.Finish(job.attempt, core::AttemptOutcome::kBrokenOff,
                          "the backend server's answer can't be read");
  } catch (const std::exception& error) {
    this->log.Warn(std::string("The attempt broke off: ") + error.what(),
                   context);
    if (base::Now() < job.deadline) {
      this->attempts.NoteCrash(job.attempt);
    }
    this->attempts.Finish(job.attempt, core::AttemptOutcome::kBrokenOff,
                          "the backend server broke off");
  }
}

void Runner::Call(const Job& job, const PlainJob& call) {
  systems::HttpRequest request;
  request.method = call.method;
  request.url = "http://" + this->backend_address + call.target;
  request.headers = call.headers;
  request.body = call.body;
  request.timeout = RemainingTime(job);

  const base::Instant asked = base::Now();
  core::AnswerCompleteness completeness;
  systems::HttpSink sink;
  sink.head = [&](int status, const std::vector<systems::HttpHeader>& headers) {
    completeness = JudgeOf(call.method, status, headers);
    this->NoteRate(status, headers, asked);
    return this->attempts.Append(
        job.attempt, core::EncodeRecord(core::AnswerHead{status, headers}));
  };
  sink.body = [&](const char* bytes, size_t count) {
    completeness.Feed({bytes, count});
    return this->attempts.Append(
        job.attempt,
        core::EncodeRecord(core::AnswerChunk{std::string(bytes, count)}));
  };
  sink.cancelled = [&] { return this->attempts.Cancelled(job.attempt); };
  if (!systems::HttpStream(kCallStep, request, sink)) {
    this->attempts.Finish(job.attempt, core::AttemptOutcome::kCancelled,
                          "cancelled");
    return;
  }
  if (const auto fault = completeness.Fault()) {
    throw base::UnknownOutcomeError(kCallStep, this->backend_address, *fault);
  }
  this->attempts.AppendEnd(job.attempt, core::AnswerEnd{});
  this->attempts.Finish(job.attempt, core::AttemptOutcome::kAnswered, "");
}

void Runner::Call(const Job& job, const ModelJob& call) {
  const systems::Engine engine(this->backend_address);
  const auto result = engine.Generate(
      call.generation, RemainingTime(job),
      [&, asked = base::Now()](
          int status, const std::vector<systems::HttpHeader>& headers) {
        this->NoteRate(status, headers, asked);
      },
      [&](const std::string& line) {
        return this->Append(job, systems::ParseEngineLine(line));
      },
      [&] { return this->attempts.Cancelled(job.attempt); });
  switch (result) {
    case systems::Engine::GenerateResult::kEnded:
      this->attempts.Finish(job.attempt, core::AttemptOutcome::kAnswered, "");
      return;
    case systems::Engine::GenerateResult::kRefused:
      this->attempts.MarkNotRun(job.attempt, "the engine refused it");
      return;
    case systems::Engine::GenerateResult::kCancelled:
      this->CancelAtEngine(job, call);
      this->attempts.Finish(job.attempt, core::AttemptOutcome::kCancelled,
                            "cancelled");
      return;
  }
}

void Runner::NoteRate(int status,
                      const std::vector<systems::HttpHeader>& headers,
                      base::Instant asked) {
  net::ResponseHead head;
  head.status = status;
  for (const auto& [name, value] : headers) {
    head.fields.push_back({name, value});
  }
  if (const auto rate = platform::DecodeRate(head)) {
    this->attempts.NoteRate(*rate, asked);
  }
}

bool Runner::Append(const Job& job, const systems::EngineLine& line) {
  if (line.end) {
    return this->attempts.AppendEnd(job.attempt, ToRecord(*line.end));
  }
  return this->attempts.AppendToken(
      job.attempt, core::EncodeRecord(core::AnswerChunk{line.text}));
}

// A failure here isn't recorded as a crash caused by the content: the
// generation had already been cancelled.
void Runner::CancelAtEngine(const Job& job, const ModelJob& call) {
  try {
    systems::Engine(this->backend_address).Cancel(call.generation.id);
  } catch (const base::Error& error) {
    this->log.Warn(
        "Failed to cancel a generation, which may still be running: " +
            error.reason() + ".",
        {.request = job.request.value,
         .attempt = job.attempt.value,
         .backend_server = {},
         .peer = error.peer(),
         .step = error.step()});
  }
}

}  // namespace carawayvalve::agent
