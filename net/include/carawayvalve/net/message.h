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

// In the order of the message.
using HeaderFields = std::vector<HeaderField>;

// Returns whether two header field names are equal, ignoring case.
bool SameFieldName(std::string_view a, std::string_view b);

// Returns the value of the first field named `name`, or null. The pointer is
// valid as long as `fields` is unchanged.
const std::string* FindField(const HeaderFields& fields, std::string_view name);

// Returns the number of fields named `name`.
int64_t CountFields(const HeaderFields& fields, std::string_view name);

// Returns the fields without the hop-by-hop ones: those that frame the body or
// manage the connection, and those that the Connection field lists.
HeaderFields EndToEndFields(const HeaderFields& fields);

// Returns `text` as a segment of a target's path or a value of its query:
// percent-encoded, but for the letters, digits and "-._~".
std::string EncodeTargetPart(std::string_view text);

// A complete request.
struct Request {
  std::string method;
  // Path and query as sent, not decoded.
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

// How the end of a response's body is marked.
enum class BodyFraming {
  kLength,
  kChunked,
  // The body ends with its connection, so that a server that crashes may end it
  // early without an error.
  kConnectionClose,
};

// Returns the framing's name in logs and metrics.
const char* NameOf(BodyFraming framing);

// A complete response.
struct Response {
  ResponseHead head;
  std::string body;

  bool operator==(const Response&) const = default;
};

// Returns the bytes of a request. Adds a Host field with `host` when there is
// none, and Content-Length.
std::string PrintRequest(const Request& request, const std::string& host);

// Returns the status line, the fields of `head` and the `framing` fields.
std::string PrintResponseHead(const ResponseHead& head,
                              const HeaderFields& framing);

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_MESSAGE_H_
