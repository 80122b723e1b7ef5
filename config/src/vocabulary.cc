#include "vocabulary.h"

#include <algorithm>

namespace carawayvalve::config::detail {

namespace {

bool IsLower(char c) {
  return c >= 'a' && c <= 'z';
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsAlphanumeric(char c) {
  return IsLower(c) || IsDigit(c) || (c >= 'A' && c <= 'Z');
}

bool IsName(const std::string& text) {
  const auto is_allowed = [](char c) {
    return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

bool IsLabel(const std::string& text) {
  constexpr unsigned char kDelete = 0x7f;
  const auto is_allowed = [](unsigned char c) {
    return c >= ' ' && c != kDelete;
  };
  return !text.empty() && text.size() <= kMaxLabelBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

// An empty host matches any host name.
bool IsHost(const std::string& text) {
  const auto is_allowed = [](char c) {
    return IsLower(c) || IsDigit(c) || c == '.' || c == '-';
  };
  return text.size() <= kMaxHostBytes && !text.ends_with('.') &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

// Rejects what a request's path can't contain or what could be spelt
// in two ways: a percent sign, a backslash, empty and dot segments, and a
// trailing slash.
bool IsPath(const std::string& text) {
  const auto is_allowed = [](char c) {
    return c > ' ' && c <= '~' && c != '?' && c != '#' && c != '%' && c != '\\';
  };
  if (text == "/") {
    return true;
  }
  const std::string with_slash = text + "/";
  return text.starts_with('/') && text.size() <= kMaxPathBytes &&
         std::all_of(text.begin(), text.end(), is_allowed) &&
         with_slash.find("//") == std::string::npos &&
         with_slash.find("/./") == std::string::npos &&
         with_slash.find("/../") == std::string::npos;
}

bool IsSha256(const std::string& text) {
  const auto is_allowed = [](char c) {
    return IsDigit(c) || (c >= 'a' && c <= 'f');
  };
  return text.size() == kSha256HexDigits &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

}  // namespace

const std::vector<std::string>& ServiceKindWords() {
  static const std::vector<std::string> kWords = {"model", "plain"};
  return kWords;
}

const std::vector<std::string>& RepeatWords() {
  static const std::vector<std::string> kWords = {"by_method", "always",
                                                  "never"};
  return kWords;
}

const std::vector<std::string>& RateUnitWords() {
  static const std::vector<std::string> kWords = {"requests", "tokens"};
  return kWords;
}

const std::vector<std::string>& MethodWords() {
  static const std::vector<std::string> kWords = {
      "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
  return kWords;
}

const TextRule kNameRule = {
    IsName,
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"};
const TextRule kLabelRule = {IsLabel, "1 to 128 bytes, no control characters"};
const TextRule kHostRule = {
    IsHost,
    "empty, or at most 253 lower-case letters, digits, '.' or '-', no '.' at "
    "the end"};
const TextRule kPathRule = {
    IsPath,
    "\"/\", or up to 1024 printable ASCII characters that start with '/' and "
    "have no space, '?', '#', '%', '\\', empty or dot segment, nor '/' at the "
    "end"};
const TextRule kSha256Rule = {IsSha256, "64 lower-case hexadecimal digits"};

}  // namespace carawayvalve::config::detail
