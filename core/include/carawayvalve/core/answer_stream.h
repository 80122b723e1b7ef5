#ifndef CARAWAYVALVE_CORE_ANSWER_STREAM_H_
#define CARAWAYVALVE_CORE_ANSWER_STREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carawayvalve::core {

// The head of a plain service's answer.
struct AnswerHead {
  int32_t status = 200;
  std::vector<std::pair<std::string, std::string>> headers;

  bool operator==(const AnswerHead&) const = default;
};

// A token of a model's answer, or some of a plain answer's body.
struct AnswerChunk {
  std::string bytes;

  bool operator==(const AnswerChunk&) const = default;
};

// Says that the answer is whole. An answer without it never is.
struct AnswerEnd {
  std::string finish_reason;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t cached_tokens = 0;

  bool operator==(const AnswerEnd&) const = default;
};

using AnswerRecord = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

// The form of a record in an attempt's output.
std::string EncodeRecord(const AnswerRecord& record);

// Cuts an attempt's output into records, however it arrives.
class AnswerStreamReader {
 public:
  // Returns the records that `bytes` completes. Throws base::Error when the
  // bytes aren't records.
  std::vector<AnswerRecord> Feed(const std::string& bytes);

 private:
  std::string rest;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ANSWER_STREAM_H_
