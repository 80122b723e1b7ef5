#ifndef CARAWAYVALVE_ENTRY_SRC_ANSWER_WRITER_H_
#define CARAWAYVALVE_ENTRY_SRC_ANSWER_WRITER_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/answer_stream.h"
#include "carawayvalve/core/claim_object.h"
#include "carawayvalve/core/request_flow.h"
#include "exchange.h"
#include "http_mapping.h"

namespace carawayvalve::entry {

// The answer of a plain service, passed on as it is.
struct PlainFormat {};

// The answer to a chat or text completion, written as JSON or as server-sent
// events.
struct CompletionFormat {
  CompletionRequest request;
};

using AnswerFormat = std::variant<PlainFormat, CompletionFormat>;

// Formats the records of one answer and writes them to its caller's exchange.
class AnswerWriter {
 public:
  AnswerWriter(const base::RequestId& request,
               const AnswerFormat& format,
               std::shared_ptr<Exchange> exchange);

  void Write(const core::AnswerRecord& record);
  // Ends the answer: completes it, or reports the failure as a problem.
  void Finish(const core::FinishRequest& finish);

  // Answers a request that has not run with a problem.
  void Refuse(const Problem& problem);

  // Keeps a copy of the records written from now on. The copy is dropped when
  // its body exceeds `max_bytes`.
  void KeepCopy(size_t max_bytes);
  // Returns the copy, or nothing if none is kept or the body was too long.
  std::optional<core::StoredAnswer> Copy() const;

  const std::shared_ptr<Exchange>& exchange() const { return this->target; }

 private:
  void AddToCopy(const core::AnswerRecord& record);
  void WritePlain(const core::AnswerRecord& record);
  void WriteCompletion(const CompletionRequest& completion,
                       const core::AnswerRecord& record);
  void FinishCompletion(const CompletionRequest& completion);
  void FinishWithProblem(const Problem& problem);
  // Returns the body of a complete answer that isn't streamed.
  std::string CompletionBody(const CompletionRequest& completion) const;
  std::string StreamEvent(const CompletionRequest& completion,
                          const std::string& text,
                          const std::string& finish_reason) const;

  base::RequestId request;
  AnswerFormat format;
  std::shared_ptr<Exchange> target;
  int64_t created_s;
  std::string text;
  core::AnswerEnd end;
  size_t max_copy_bytes = 0;
  std::optional<core::StoredAnswer> copy;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_ANSWER_WRITER_H_
