#ifndef CARAWAYVALVE_NET_SRC_LOOP_STATE_H_
#define CARAWAYVALVE_NET_SRC_LOOP_STATE_H_

// Asio of Debian 12 uses std::exchange without including it.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::net::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

struct LoopState {
  // One thread runs the loop, so Asio needs no locks.
  asio::io_context context{1};
  std::optional<asio::signal_set> signals;
};

// Returns the numeric IPv4 address. Throws base::Error for a host name.
inline asio::ip::address_v4 ToIpAddress(const base::Address& address) {
  error_code error;
  auto number = asio::ip::make_address_v4(address.host, error);
  if (error) {
    throw base::Error("read address", address.host, error.message());
  }
  return number;
}

template <typename Endpoint>
Endpoint ToEndpoint(const base::Address& address) {
  return Endpoint(ToIpAddress(address), address.port);
}

// Removes the first `size` bytes. An empty buffer keeps no large block, as its
// connection may be idle for long.
inline void EraseFront(std::string& buffer, size_t size) {
  constexpr size_t kMaxKeptBytes = size_t{16} * 1024;
  if (size == buffer.size() && buffer.capacity() > kMaxKeptBytes) {
    // An assignment would keep the block.
    std::string().swap(buffer);
  } else {
    buffer.erase(0, size);
  }
}

// Disables Nagle's algorithm. Returns whether ReadSendState works for the
// connection, whose owner then has to notice a peer that acknowledges nothing;
// if not, the system fails the connection to it. Ignores errors: the socket
// works without.
bool SetUpSocket(tcp::socket& socket);

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_LOOP_STATE_H_
