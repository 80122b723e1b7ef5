#include "carawayvalve/base/address.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "carawayvalve/base/error.h"

namespace carawayvalve::base {

TEST_CASE("An address is HOST:PORT") {
  SUBCASE("given a valid address") {
    CHECK(rc::check("any IPv4 number and port are read as they were written",
                    [](uint32_t number, uint16_t port) {
                      const in_addr host{number};
                      char text[INET_ADDRSTRLEN];
                      inet_ntop(AF_INET, &host, text, sizeof(text));
                      const Address address =
                          ParseAddress(text + (":" + std::to_string(port)));
                      RC_ASSERT(address == (Address{text, port}));
                      const sockaddr_in socket_address =
                          ToSocketAddress(address);
                      RC_ASSERT(socket_address.sin_addr.s_addr == number);
                      RC_ASSERT(ntohs(socket_address.sin_port) == port);
                    }));
  }
  SUBCASE("given text of another form, the error contains the text") {
    for (const std::string text :
         {"", ":", "host", "host:", ":7400", "host:port", "host:-1",
          "host:65536", "host:7400 ", "host: 7400", "host:+7400"}) {
      CAPTURE(text);
      CHECK_THROWS_WITH_AS(
          ParseAddress(text),
          ("parse address at " + text + ": expected HOST:PORT").c_str(), Error);
    }
  }
  SUBCASE("a host name can't be converted to a socket address") {
    CHECK_THROWS_AS(ToSocketAddress({"a.host", 7400}), Error);
  }
}

}  // namespace carawayvalve::base
