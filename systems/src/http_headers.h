#ifndef CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_
#define CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::systems::detail {

struct FreeHeaderLines {
  void operator()(curl_slist* lines) const { curl_slist_free_all(lines); }
};

using HeaderLines = std::unique_ptr<curl_slist, FreeHeaderLines>;

// Returns `text` without the white space and line ends around it.
std::string Trim(std::string_view text);

// Returns whether `text` is valid as a method or a header name.
bool IsToken(const std::string& text);

// Returns whether `text` is valid as a header value on one line.
bool IsHeaderValue(const std::string& text);

// Returns the header lines for libcurl, without the headers that it sets itself
// and with its default headers disabled.
HeaderLines ToHeaderLines(const std::vector<HttpHeader>& headers);

// Parses "Name: value". The name is empty when the line is not a header.
HttpHeader ParseHeaderLine(const std::string& line);

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_
