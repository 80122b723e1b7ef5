// Asio of Debian 12 uses std::exchange without including it.
#include <utility>

#include "link.h"

#include <sys/socket.h>

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

// How often held bytes look whether they may go on.
constexpr base::Milliseconds kHoldInterval(20);

bool WasReset(tcp::socket& socket) {
  char next = 0;
  return recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno != EAGAIN;
}

}  // namespace

class Link::State : public std::enable_shared_from_this<State> {
 public:
  // One connection and its counterpart.
  struct Pair {
    explicit Pair(tcp::socket accepted)
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
    std::shared_ptr<Pair> pair;
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
        self->Connect(std::make_shared<Pair>(std::move(near)));
      }
      self->Accept();
    });
  }

  void Connect(const std::shared_ptr<Pair>& pair) {
    this->pairs.insert(pair);
    pair->far.async_connect(this->target, [self = this->shared_from_this(),
                                           pair](const error_code& error) {
      if (error) {
        self->Drop(pair);
        return;
      }
      for (const bool from_near : {true, false}) {
        auto flow = std::make_shared<Flow>(pair->near.get_executor());
        flow->pair = pair;
        flow->from_near = from_near;
        self->Read(flow);
      }
    });
  }

  void Read(const std::shared_ptr<Flow>& flow) {
    tcp::socket& source = flow->from_near ? flow->pair->near : flow->pair->far;
    source.async_read_some(asio::buffer(flow->buffer),
                           [self = this->shared_from_this(), flow](
                               const error_code& error, size_t size) {
                             if (error) {
                               self->Drop(flow->pair);
                               return;
                             }
                             flow->size = size;
                             self->Wait(flow, self->delay);
                           });
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
            self->Wait(flow, kHoldInterval);
          } else if (flow->from_near && WasReset(flow->pair->near)) {
            // What the network holds is lost when its sender resets.
            self->Drop(flow->pair);
          } else {
            self->Write(flow);
          }
        });
  }

  void Write(const std::shared_ptr<Flow>& flow) {
    tcp::socket& sink = flow->from_near ? flow->pair->far : flow->pair->near;
    asio::async_write(sink, asio::buffer(flow->buffer, flow->size),
                      [self = this->shared_from_this(), flow](
                          const error_code& error, size_t /*size*/) {
                        if (error) {
                          self->Drop(flow->pair);
                        } else {
                          self->Read(flow);
                        }
                      });
  }

  void Drop(const std::shared_ptr<Pair>& pair) {
    pair->Close();
    this->pairs.erase(pair);
  }

  void Reset() {
    for (const auto& pair : this->pairs) {
      error_code ignored;
      pair->near.set_option(asio::socket_base::linger(true, 0), ignored);
      pair->far.set_option(asio::socket_base::linger(true, 0), ignored);
      pair->Close();
    }
    this->pairs.clear();
  }

  tcp::acceptor acceptor;
  tcp::endpoint target;
  Mode mode = Mode::kOpen;
  base::Milliseconds delay{0};
  std::set<std::shared_ptr<Pair>> pairs;
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

void Link::Reset() {
  this->state->Reset();
}

bool Link::calm() const {
  return this->state->mode == Mode::kOpen && this->state->delay.count() == 0;
}

}  // namespace carawayvalve::tests
