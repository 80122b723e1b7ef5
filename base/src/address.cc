#include "carawayvalve/base/address.h"

#include <arpa/inet.h>

#include <charconv>

#include "carawayvalve/base/error.h"

namespace carawayvalve::base {

Address ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  Address address;
  if (colon != std::string::npos && colon > 0) {
    address.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [rest, error] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (error == std::errc() && rest == end) {
      return address;
    }
  }
  throw Error("parse address", text, "expected HOST:PORT");
}

std::string PrintAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &socket_address.sin_addr) != 1) {
    throw Error("parse address", address.host, "expected an IPv4 number");
  }
  return socket_address;
}

}  // namespace carawayvalve::base
