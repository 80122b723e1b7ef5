#ifndef CARAWAYVALVE_TESTS_PLATFORM_ODD_NAMES_H_
#define CARAWAYVALVE_TESTS_PLATFORM_ODD_NAMES_H_

#include <string>
#include <vector>

namespace carawayvalve::tests {

// Returns bytes that the name of no backend server and no gateway holds.
inline std::vector<std::string> OddBytes() {
  return {"&",    "+",    "#", "%",        "%41",  " ",   "\t", "\n",
          "\r\n", "/",    "?", "\"",       "\\",   "'",   "=",  ";",
          "<",    "\x01", ":", "\xc3\xa9", "\x7f", "\xff"};
}

// Returns the name of a sound server; they sort by number, up to 99.
inline std::string ServerName(int number) {
  return (number < 10 ? "w0" : "w") + std::to_string(number);
}

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_ODD_NAMES_H_
