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

// How the answer of a plain service is written.
struct PlainFormat {};

// How a completion is written.
struct CompletionFormat {
  CompletionRequest request;
};

using AnswerFormat = std::variant<PlainFormat, CompletionFormat>;

// Writes the records of one answer to its caller's exchange.
class AnswerWriter {
 public:
  AnswerWriter(const base::RequestId& request,
               const AnswerFormat& format,
               std::shared_ptr<Exchange> exchange);

  void Write(const core::AnswerRecord& record);
  // Writes the final answer: the end of a whole one, or a problem.
  void Finish(const core::FinishRequest& finish);

  // Answers with a problem without having run.
  void Refuse(const Problem& problem);

  // Keeps a copy of the answer from here on, up to this size.
  void KeepCopy(size_t max_bytes);
  // The whole answer; nothing if it was too long to keep.
  std::optional<core::StoredAnswer> Copy() const;

  const std::shared_ptr<Exchange>& exchange() const { return this->target; }

 private:
  void AddToCopy(const core::AnswerRecord& record);
  void WritePlain(const core::AnswerRecord& record);
  void WriteCompletion(const CompletionRequest& completion,
                       const core::AnswerRecord& record);
  void FinishCompletion(const CompletionRequest& completion);
  void FinishWithProblem(const Problem& problem);
  // The answer of a completion that isn't streamed, once it is whole.
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
