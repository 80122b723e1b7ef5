#ifndef CARAWAYVALVE_TESTS_FAKES_GENERATED_TEXT_H_
#define CARAWAYVALVE_TESTS_FAKES_GENERATED_TEXT_H_

#include <cstdint>
#include <string>

namespace carawayvalve::fakes {

constexpr int64_t kBytesPerToken = 4;

// Returns the number of tokens of a text of `bytes` bytes.
int64_t CountTokens(size_t bytes);

// The text generated for a prompt. It depends only on the prompt, so it is the
// same on every engine and in every run.
class GeneratedText {
 public:
  explicit GeneratedText(const std::string& prompt);

  // Returns the number of tokens after which the generation stops by itself.
  int64_t length() const { return this->token_count; }
  std::string Token(int64_t index) const;

 private:
  uint64_t seed;
  int64_t token_count;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_GENERATED_TEXT_H_
