#include "answer_writer.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace carawayvalve::entry {

namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json UsageJson(const core::AnswerEnd& end) {
  return {{"prompt_tokens", end.prompt_tokens},
          {"completion_tokens", end.output_tokens},
          {"total_tokens", end.prompt_tokens + end.output_tokens},
          {"prompt_tokens_details", {{"cached_tokens", end.cached_tokens}}}};
}

std::string FormatServerSentEvent(const json& value) {
  return "data: " + Dump(value) + "\n\n";
}

int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Problem ToProblem(const core::FinishRequest& finish) {
  Problem problem;
  problem.detail = finish.reason;
  problem.retry_after = finish.retry_after;
  switch (finish.failure) {
    case core::FailureKind::kNotRun:
      problem.outcome = Outcome::kNotRun;
      problem.status = finish.deadline_passed ? 504 : 503;
      problem.title = "Not run";
      break;
    case core::FailureKind::kUnknownOutcome:
      problem.outcome = Outcome::kUnknownOutcome;
      problem.status = finish.deadline_passed ? 504 : 502;
      problem.title = "Unknown outcome";
      break;
    case core::FailureKind::kIncomplete:
      problem.outcome = Outcome::kIncomplete;
      problem.status = finish.deadline_passed ? 504 : 502;
      problem.title = "Incomplete answer";
      break;
  }
  return problem;
}

}  // namespace

AnswerWriter::AnswerWriter(const base::RequestId& request,
                           const AnswerFormat& format,
                           std::shared_ptr<Exchange> exchange)
    : request(request),
      format(format),
      target(std::move(exchange)),
      created_s(UnixSeconds()) {}

void AnswerWriter::Refuse(const Problem& problem) {
  this->FinishWithProblem(problem);
}

void AnswerWriter::KeepCopy(size_t max_bytes) {
  this->max_copy_bytes = max_bytes;
  this->copy = core::StoredAnswer();
}

std::optional<core::StoredAnswer> AnswerWriter::Copy() const {
  return this->copy;
}

void AnswerWriter::AddToCopy(const core::AnswerRecord& record) {
  if (!this->copy) {
    return;
  }
  if (const auto* head = std::get_if<core::AnswerHead>(&record)) {
    this->copy->head = *head;
  } else if (const auto* end_record = std::get_if<core::AnswerEnd>(&record)) {
    this->copy->end = *end_record;
  } else {
    this->copy->body += std::get<core::AnswerChunk>(record).bytes;
  }
  if (this->copy->body.size() > this->max_copy_bytes) {
    this->copy.reset();
  }
}

void AnswerWriter::Write(const core::AnswerRecord& record) {
  this->AddToCopy(record);
  if (const auto* completion = std::get_if<CompletionFormat>(&this->format)) {
    this->WriteCompletion(completion->request, record);
  } else {
    this->WritePlain(record);
  }
}

void AnswerWriter::WritePlain(const core::AnswerRecord& record) {
  if (const auto* head = std::get_if<core::AnswerHead>(&record)) {
    Headers headers = ReturnedHeaders(head->headers);
    headers.emplace_back("X-Request-Id", this->request.value);
    this->target->SetHead({head->status, headers});
  } else if (const auto* chunk = std::get_if<core::AnswerChunk>(&record)) {
    this->target->Append(chunk->bytes);
  }
}

void AnswerWriter::WriteCompletion(const CompletionRequest& completion,
                                   const core::AnswerRecord& record) {
  if (const auto* end_record = std::get_if<core::AnswerEnd>(&record)) {
    this->end = *end_record;
    return;
  }
  const auto* chunk = std::get_if<core::AnswerChunk>(&record);
  if (chunk == nullptr) {
    return;
  }
  if (!completion.stream) {
    this->text += chunk->bytes;
    return;
  }
  this->target->SetHead({200,
                         {{"Content-Type", "text/event-stream"},
                          {"Cache-Control", "no-cache"},
                          {"X-Request-Id", this->request.value}}});
  this->target->Append(this->StreamEvent(completion, chunk->bytes, ""));
}

std::string AnswerWriter::StreamEvent(const CompletionRequest& completion,
                                      const std::string& text,
                                      const std::string& finish_reason) const {
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
  }
  if (!completion.chat) {
    choice["text"] = text;
  } else if (finish_reason.empty()) {
    choice["delta"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["delta"] = json::object();
  }
  return FormatServerSentEvent(
      {{"id", this->request.value},
       {"object",
        completion.chat ? "chat.completion.chunk" : "text_completion"},
       {"created", this->created_s},
       {"model", completion.model.value},
       {"choices", json::array({choice})}});
}

std::string AnswerWriter::CompletionBody(
    const CompletionRequest& completion) const {
  json choice = {{"index", 0}, {"finish_reason", this->end.finish_reason}};
  if (completion.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", this->text}};
  } else {
    choice["text"] = this->text;
  }
  return Dump({{"id", this->request.value},
               {"object",
                completion.chat ? "chat.completion" : "text_completion"},
               {"created", this->created_s},
               {"model", completion.model.value},
               {"choices", json::array({choice})},
               {"usage", UsageJson(this->end)}}) +
         "\n";
}

void AnswerWriter::Finish(const core::FinishRequest& finish) {
  if (!finish.whole) {
    this->FinishWithProblem(ToProblem(finish));
  } else if (const auto* format =
                 std::get_if<CompletionFormat>(&this->format)) {
    this->FinishCompletion(format->request);
  } else {
    this->target->End(true);
  }
}

void AnswerWriter::FinishCompletion(const CompletionRequest& completion) {
  if (!completion.stream) {
    this->target->Answer({200,
                          {{"Content-Type", "application/json"},
                           {"X-Request-Id", this->request.value}}},
                         this->CompletionBody(completion));
    return;
  }
  this->target->SetHead({200,
                         {{"Content-Type", "text/event-stream"},
                          {"X-Request-Id", this->request.value}}});
  this->target->Append(
      this->StreamEvent(completion, "", this->end.finish_reason));
  if (completion.include_usage) {
    this->target->Append(
        FormatServerSentEvent({{"id", this->request.value},
                               {"object", "chat.completion.chunk"},
                               {"created", this->created_s},
                               {"model", completion.model.value},
                               {"choices", json::array()},
                               {"usage", UsageJson(this->end)}}));
  }
  this->target->Append("data: [DONE]\n\n");
  this->target->End(true);
}

void AnswerWriter::FinishWithProblem(const Problem& problem) {
  if (!this->target->has_head()) {
    this->target->Answer(ProblemHead(problem, this->request),
                         ProblemBody(problem, this->request));
    return;
  }
  if (std::holds_alternative<CompletionFormat>(this->format)) {
    const std::string body = ProblemBody(problem, this->request);
    this->target->Append("event: error\ndata: " + body + "\n");
  }
  // Only the broken connection reliably shows the caller that the answer is
  // incomplete.
  this->target->End(false);
}

}  // namespace carawayvalve::entry
