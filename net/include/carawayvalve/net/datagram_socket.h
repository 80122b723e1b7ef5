#ifndef CARAWAYVALVE_NET_DATAGRAM_SOCKET_H_
#define CARAWAYVALVE_NET_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::net {

namespace detail {
struct DatagramState;
}  // namespace detail

// Sends and receives UDP datagrams at one address. Delivery isn't guaranteed.
class DatagramSocket {
 public:
  using Handler =
      std::function<void(const std::string& data, const base::Address& sender)>;

  // Binds to `address` and calls `handler` from the loop for each datagram
  // received. Throws base::ListenError when binding fails.
  DatagramSocket(EventLoop& loop,
                 const base::Address& address,
                 Handler handler);
  ~DatagramSocket();

  // Sends without blocking. Drops the datagram when the send buffer is full.
  void Send(const std::string& data, const base::Address& receiver);
  uint16_t port() const;

 private:
  std::shared_ptr<detail::DatagramState> state;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_DATAGRAM_SOCKET_H_
