// Debian 12's Asio uses std::exchange without including <utility>.
#include <utility>

#include "link.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <functional>
#include <set>

#include "../../net/src/loop_state.h"

namespace carawayvalve::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How often to check whether held bytes may be forwarded.
constexpr base::Milliseconds kHeldCheckInterval(20);

constexpr size_t kPacketBytes = 1448;

bool WasReset(tcp::socket& socket) {
  char next = 0;
  return recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno != EAGAIN;
}

}  // namespace

class Link::State : public std::enable_shared_from_this<State> {
 public:
  // An accepted connection and the connection to the target.
  struct Connection {
    explicit Connection(tcp::socket accepted)
        : near(std::move(accepted)), far(this->near.get_executor()) {}
    void Close() {
      error_code ignored;
      this->near.close(ignored);
      this->far.close(ignored);
    }
    tcp::socket near;
    tcp::socket far;
  };
  // One direction of a connection.
  struct Flow {
    explicit Flow(const asio::any_io_executor& executor) : timer(executor) {}
    std::shared_ptr<Connection> connection;
    bool from_near = false;
    asio::steady_timer timer;
    std::array<char, 16384> buffer{};
    size_t size = 0;
  };

  State(asio::io_context& context, uint16_t target_port)
      : acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        target(asio::ip::address_v4::loopback(), target_port) {}

  void Accept() {
    this->acceptor.async_accept([self = this->shared_from_this()](
                                    const error_code& error, tcp::socket near) {
      if (error) {
        return;
      }
      if (self->mode != Mode::kRefusing) {
        self->Connect(std::make_shared<Connection>(std::move(near)));
      }
      self->Accept();
    });
  }

  void Connect(const std::shared_ptr<Connection>& connection) {
    this->connections.insert(connection);
    connection->far.async_connect(
        this->target,
        [self = this->shared_from_this(), connection](const error_code& error) {
          if (error) {
            self->Drop(connection);
            return;
          }
          for (const bool from_near : {true, false}) {
            auto flow = std::make_shared<Flow>(connection->near.get_executor());
            flow->connection = connection;
            flow->from_near = from_near;
            self->Read(flow);
          }
        });
  }

  void Read(const std::shared_ptr<Flow>& flow) {
    tcp::socket& source =
        flow->from_near ? flow->connection->near : flow->connection->far;
    // A slow link brings no more than a packet at once.
    const size_t most = this->rate == 0 ? flow->buffer.size() : kPacketBytes;
    source.async_read_some(asio::buffer(flow->buffer, most),
                           [self = this->shared_from_this(), flow](
                               const error_code& error, size_t size) {
                             if (error) {
                               self->Drop(flow->connection);
                               return;
                             }
                             flow->size = size;
                             self->Wait(flow, self->delay + self->Take(*flow));
                           });
  }

  // Returns the time after which the link is free for the bytes of the flow.
  base::Milliseconds Take(const Flow& flow) {
    const base::Instant now = base::Now();
    if (flow.from_near || this->rate == 0) {
      return base::Milliseconds(0);
    }
    this->free_at =
        std::max(this->free_at, now) +
        std::chrono::duration_cast<base::Duration>(
            std::chrono::duration<double>(static_cast<double>(flow.size) /
                                          static_cast<double>(this->rate)));
    return std::chrono::duration_cast<base::Milliseconds>(this->free_at - now);
  }

  void Wait(const std::shared_ptr<Flow>& flow, base::Milliseconds wait) {
    flow->timer.expires_after(wait);
    flow->timer.async_wait(
        [self = this->shared_from_this(), flow](const error_code& error) {
          if (error) {
            return;
          }
          const bool held = self->mode == Mode::kSilent ||
                            (self->mode == Mode::kOneWay && !flow->from_near);
          if (held) {
            self->Wait(flow, kHeldCheckInterval);
          } else if (flow->from_near && WasReset(flow->connection->near)) {
            // A reset by the sender discards bytes that are in transit.
            self->Drop(flow->connection);
          } else {
            self->Write(flow);
          }
        });
  }

  void Write(const std::shared_ptr<Flow>& flow) {
    tcp::socket& sink =
        flow->from_near ? flow->connection->far : flow->connection->near;
    asio::async_write(sink, asio::buffer(flow->buffer, flow->size),
                      [self = this->shared_from_this(), flow](
                          const error_code& error, size_t /*size*/) {
                        if (error) {
                          self->Drop(flow->connection);
                        } else {
                          self->Read(flow);
                        }
                      });
  }

  void Drop(const std::shared_ptr<Connection>& connection) {
    connection->Close();
    this->connections.erase(connection);
  }

  void Reset() {
    for (const auto& connection : this->connections) {
      error_code ignored;
      connection->near.set_option(asio::socket_base::linger(true, 0), ignored);
      connection->far.set_option(asio::socket_base::linger(true, 0), ignored);
      connection->Close();
    }
    this->connections.clear();
  }

  tcp::acceptor acceptor;
  tcp::endpoint target;
  Mode mode = Mode::kOpen;
  base::Milliseconds delay{0};
  int64_t rate = 0;
  base::Instant free_at;
  std::set<std::shared_ptr<Connection>> connections;
};

Link::Link(net::EventLoop& loop, uint16_t target_port)
    : state(std::make_shared<State>(loop.state().context, target_port)) {
  this->state->Accept();
}

Link::~Link() {
  error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->Reset();
}

uint16_t Link::port() const {
  return this->state->acceptor.local_endpoint().port();
}

void Link::Set(Mode mode) {
  this->state->mode = mode;
  if (mode == Mode::kRefusing) {
    this->state->Reset();
  }
}

void Link::SetDelay(base::Milliseconds delay) {
  this->state->delay = delay;
}

void Link::SetRate(int64_t bytes_per_second) {
  this->state->rate = bytes_per_second;
}

void Link::Reset() {
  this->state->Reset();
}

bool Link::undisturbed() const {
  return this->state->mode == Mode::kOpen && this->state->delay.count() == 0;
}

}  // namespace carawayvalve::tests
