#include "byte_text.h"

#include <stdexcept>

namespace carawayvalve::core {

namespace {

// Code points up to 0x7f take one byte of UTF-8, those up to 0xff two.
constexpr unsigned char kFirstTwoByteValue = 0x80;
constexpr unsigned char kLeadMark = 0xc0;
constexpr unsigned char kLeadMask = 0xfc;
constexpr unsigned char kTrailMark = 0x80;
constexpr unsigned char kTrailBits = 0x3f;
constexpr int kTrailShift = 6;

}  // namespace

std::string BytesToText(const std::string& bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < kFirstTwoByteValue) {
      text.push_back(byte);
    } else {
      text.push_back(static_cast<char>(kLeadMark | (value >> kTrailShift)));
      text.push_back(static_cast<char>(kTrailMark | (value & kTrailBits)));
    }
  }
  return text;
}

std::string TextToBytes(const std::string& text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < kFirstTwoByteValue) {
      bytes.push_back(text[i]);
      continue;
    }
    if ((lead & kLeadMask) != kLeadMark || i + 1 >= text.size()) {
      throw std::invalid_argument("the text doesn't stand for bytes");
    }
    const auto trail = static_cast<unsigned char>(text[++i]);
    bytes.push_back(
        static_cast<char>((lead << kTrailShift) | (trail & kTrailBits)));
  }
  return bytes;
}

}  // namespace carawayvalve::core
