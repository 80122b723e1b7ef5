#ifndef CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_
#define CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::systems::detail {

struct FreeHeaderLines {
  void operator()(curl_slist* lines) const { curl_slist_free_all(lines); }
};

using HeaderLines = std::unique_ptr<curl_slist, FreeHeaderLines>;

// Whether `text` may stand as a method or a header's name.
bool IsToken(const std::string& text);

// Whether `text` may stand as a header's value on one line.
bool IsHeaderValue(const std::string& text);

// Returns the lines for libcurl, without those headers that it sets itself and
// with its own defaults turned off.
HeaderLines ToHeaderLines(const std::vector<HttpHeader>& headers);

// Reads "Name: value"; the name is empty when the line isn't a header.
HttpHeader ParseHeaderLine(const std::string& line);

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_HTTP_HEADERS_H_
