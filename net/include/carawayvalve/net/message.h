#ifndef CARAWAYVALVE_NET_MESSAGE_H_
#define CARAWAYVALVE_NET_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawayvalve::net {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

// In the order in which they stand in the message.
using HeaderFields = std::vector<HeaderField>;

// Compares names of header fields: upper and lower case are alike.
bool SameFieldName(std::string_view a, std::string_view b);

// Returns the value of the first field of that name, null when there is none.
const std::string* FindField(const HeaderFields& fields, std::string_view name);

// Returns the number of fields of that name.
int64_t CountFields(const HeaderFields& fields, std::string_view name);

// Returns the fields without those that concern only one connection: the
// framing of the body, and whatever the Connection field names.
HeaderFields EndToEndFields(const HeaderFields& fields);

// A whole request.
struct Request {
  std::string method;
  // Path and query, as they were sent.
  std::string target;
  HeaderFields fields;
  std::string body;

  bool operator==(const Request&) const = default;
};

struct ResponseHead {
  int status = 0;
  HeaderFields fields;

  bool operator==(const ResponseHead&) const = default;
};

// A whole response.
struct Response {
  ResponseHead head;
  std::string body;

  bool operator==(const Response&) const = default;
};

// Returns the bytes of a request to `host`; the length of its body is added.
std::string PrintRequest(const Request& request, const std::string& host);

// Returns the status line and the fields; the caller adds framing fields.
std::string PrintResponseHead(const ResponseHead& head,
                              const HeaderFields& framing);

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_MESSAGE_H_
