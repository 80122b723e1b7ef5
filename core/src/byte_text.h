#ifndef CARAWAYVALVE_CORE_SRC_BYTE_TEXT_H_
#define CARAWAYVALVE_CORE_SRC_BYTE_TEXT_H_

#include <string>

namespace carawayvalve::core {

// Encodes arbitrary bytes as UTF-8 text for JSON: each byte becomes the code
// point of its value, so ASCII text is unchanged.
std::string BytesToText(const std::string& bytes);

// Reverses BytesToText. Throws std::invalid_argument if the text isn't a result
// of BytesToText.
std::string TextToBytes(const std::string& text);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SRC_BYTE_TEXT_H_
