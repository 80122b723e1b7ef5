#ifndef CARAWAYVALVE_BASE_ADDRESS_H_
#define CARAWAYVALVE_BASE_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace carawayvalve::base {

struct Address {
  std::string host;
  uint16_t port = 0;

  bool operator==(const Address&) const = default;
};

// Parses HOST:PORT. Throws base::Error with the text when it has another form.
Address ParseAddress(const std::string& text);

// Returns HOST:PORT.
std::string PrintAddress(const Address& address);

// Converts to the socket API's address type. Throws base::Error when the host
// isn't a numeric IPv4 address.
sockaddr_in ToSocketAddress(const Address& address);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_ADDRESS_H_
