#include "generated_text.h"

#include <xxhash.h>

#include <cstdlib>

namespace carawayvalve::fakes {

namespace {

constexpr char kLengthMark[] = "length=";
constexpr uint64_t kMinTokens = 8;
constexpr uint64_t kTokenSpread = 56;
constexpr uint64_t kMinLetters = 2;
constexpr uint64_t kLetterSpread = 4;
constexpr uint64_t kAlphabetSize = 26;

int64_t ChooseLength(const std::string& prompt, uint64_t seed) {
  const size_t mark = prompt.find(kLengthMark);
  if (mark == std::string::npos) {
    return static_cast<int64_t>(kMinTokens + seed % kTokenSpread);
  }
  const char* digits = prompt.c_str() + mark + sizeof(kLengthMark) - 1;
  return std::strtoll(digits, nullptr, 10);
}

}  // namespace

int64_t CountTokens(size_t bytes) {
  return (static_cast<int64_t>(bytes) + kBytesPerToken - 1) / kBytesPerToken;
}

GeneratedText::GeneratedText(const std::string& prompt)
    : seed(XXH3_64bits(prompt.data(), prompt.size())),
      token_count(ChooseLength(prompt, this->seed)) {}

std::string GeneratedText::Token(int64_t index) const {
  uint64_t hash = XXH3_64bits_withSeed(&this->seed, sizeof(this->seed),
                                       static_cast<XXH64_hash_t>(index));
  const uint64_t letters = kMinLetters + hash % kLetterSpread;
  std::string word;
  for (uint64_t i = 0; i < letters; ++i) {
    hash /= kAlphabetSize;
    word.push_back(static_cast<char>('a' + hash % kAlphabetSize));
  }
  return word + " ";
}

}  // namespace carawayvalve::fakes
