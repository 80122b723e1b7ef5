#include "http_headers.h"

#include <algorithm>
#include <array>
#include <new>
#include <string_view>

namespace carawayvalve::systems {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

// Headers that libcurl sets to match the body and the connection.
constexpr std::array<std::string_view, 7> kFramingHeaders = {
    "connection", "content-length", "expect",           "keep-alive",
    "te",         "trailer",        "transfer-encoding"};

// Headers that libcurl adds by default.
constexpr std::array<std::string_view, 3> kDefaultHeaders = {
    "Accept", "Content-Type", "Expect"};

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                        : letter;
}

bool IsSameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool IsFraming(const std::string& name) {
  return std::any_of(
      kFramingHeaders.begin(), kFramingHeaders.end(),
      [&name](std::string_view framing) { return IsSameName(name, framing); });
}

bool HasHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [name](const HttpHeader& header) {
                       return IsSameName(header.first, name);
                     });
}

void Append(detail::HeaderLines& lines, const std::string& line) {
  curl_slist* extended = curl_slist_append(lines.get(), line.c_str());
  if (extended == nullptr) {
    throw std::bad_alloc();
  }
  static_cast<void>(lines.release());
  lines.reset(extended);
}

}  // namespace

namespace detail {

std::string Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return "";
  }
  const size_t end = text.find_last_not_of(kBlanks);
  return std::string(text.substr(begin, end - begin + 1));
}

bool IsToken(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    const char lower = ToLower(c);
    return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') ||
           kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

bool IsHeaderValue(const std::string& text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return c == '\0' || c == '\r' || c == '\n';
  });
}

HeaderLines ToHeaderLines(const std::vector<HttpHeader>& headers) {
  HeaderLines lines;
  for (const auto& [name, value] : headers) {
    if (IsFraming(name)) {
      continue;
    }
    const std::string trimmed = Trim(value);
    // libcurl drops a header given as "Name:" and sends "Name;" as an empty
    // one.
    std::string line = name;
    line += trimmed.empty() ? ";" : ": ";
    line += trimmed;
    Append(lines, line);
  }
  for (const std::string_view name : kDefaultHeaders) {
    if (IsFraming(std::string(name)) || !HasHeader(headers, name)) {
      Append(lines, std::string(name) + ":");
    }
  }
  return lines;
}

HttpHeader ParseHeaderLine(const std::string& line) {
  const size_t colon = line.find(':');
  if (colon == std::string::npos) {
    return {};
  }
  return {line.substr(0, colon), Trim(line.substr(colon + 1))};
}

}  // namespace detail

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&name](const HttpHeader& header) {
                                    return IsSameName(header.first, name);
                                  });
  return found == headers.end() ? "" : found->second;
}

}  // namespace carawayvalve::systems
