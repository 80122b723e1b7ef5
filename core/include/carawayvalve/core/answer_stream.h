#ifndef CARAWAYVALVE_CORE_ANSWER_STREAM_H_
#define CARAWAYVALVE_CORE_ANSWER_STREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carawayvalve::core {

// The status and headers of a plain service's answer.
struct AnswerHead {
  int32_t status = 200;
  std::vector<std::pair<std::string, std::string>> headers;

  bool operator==(const AnswerHead&) const = default;
};

// One token of a model's answer, or part of a plain service's body.
struct AnswerChunk {
  std::string bytes;

  bool operator==(const AnswerChunk&) const = default;
};

// Marks the answer as complete. An answer without this record is incomplete.
struct AnswerEnd {
  std::string finish_reason;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t cached_tokens = 0;

  bool operator==(const AnswerEnd&) const = default;
};

using AnswerRecord = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

// Returns the record as it is encoded in an attempt's output.
std::string EncodeRecord(const AnswerRecord& record);

// Decodes an attempt's output, received in chunks of any size, into records.
class AnswerStreamReader {
 public:
  // Appends `bytes` and returns the records that are now complete. Throws
  // base::Error if the output isn't a valid sequence of records.
  std::vector<AnswerRecord> Feed(const std::string& bytes);

 private:
  std::string pending;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ANSWER_STREAM_H_
