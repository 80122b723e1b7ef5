#include "carawayvalve/net/datagram_socket.h"

#include <array>
#include <utility>

#include "carawayvalve/base/listen.h"
#include "loop_state.h"

namespace carawayvalve::net {

namespace detail {

namespace {

// No IPv4 datagram is longer.
constexpr size_t kMaxDatagramBytes = size_t{64} * 1024;

}  // namespace

struct DatagramState : std::enable_shared_from_this<DatagramState> {
  DatagramState(EventLoop& loop, DatagramSocket::Handler handler)
      : socket(loop.state().context), handler(std::move(handler)) {}

  void Receive() {
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](const error_code& error,
                                          size_t size) {
          if (error == asio::error::operation_aborted || self->closed) {
            return;
          }
          if (!error) {
            self->handler(
                std::string(self->buffer.data(), size),
                {self->sender.address().to_string(), self->sender.port()});
          }
          self->Receive();
        });
  }

  udp::socket socket;
  DatagramSocket::Handler handler;
  bool closed = false;
  udp::endpoint sender;
  std::array<char, kMaxDatagramBytes> buffer{};
};

}  // namespace detail

DatagramSocket::DatagramSocket(EventLoop& loop,
                               const base::Address& address,
                               Handler handler)
    : state(std::make_shared<detail::DatagramState>(loop, std::move(handler))) {
  try {
    const auto endpoint = detail::ToEndpoint<detail::udp::endpoint>(address);
    this->state->socket.open(endpoint.protocol());
    this->state->socket.bind(endpoint);
    this->state->socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw base::ListenError("bind datagrams",
                            address.host + ":" + std::to_string(address.port),
                            error.what());
  }
  this->state->Receive();
}

DatagramSocket::~DatagramSocket() {
  this->state->closed = true;
  detail::error_code ignored;
  this->state->socket.close(ignored);
}

void DatagramSocket::Send(const std::string& data,
                          const base::Address& receiver) {
  detail::error_code ignored;
  this->state->socket.send_to(
      boost::asio::buffer(data),
      detail::ToEndpoint<detail::udp::endpoint>(receiver), 0, ignored);
}

uint16_t DatagramSocket::port() const {
  return this->state->socket.local_endpoint().port();
}

}  // namespace carawayvalve::net
