#include "carawayvalve/wire/channel.h"

#include <thrift/Thrift.h>

#include <algorithm>
#include <chrono>

#include "carawayvalve/base/address.h"
#include "deadline_socket.h"
#include "framing.h"
#include "thrift_log.h"

namespace carawayvalve::wire {

using apache::thrift::TException;
using apache::thrift::protocol::TProtocol;

namespace {

// Prevents overflow of deadlines and of Thrift's timeouts in milliseconds.
constexpr base::Milliseconds kMaxTimeout = std::chrono::hours(24);

// Throws base::Error unless the text is a numeric IPv4 address and a port.
base::Address ParseIpAddress(const std::string& text) {
  base::Address address = base::ParseAddress(text);
  base::ToSocketAddress(address);
  return address;
}

}  // namespace

struct Connection::Impl {
  base::Address peer;
  // Null while the connection isn't open.
  std::shared_ptr<detail::DeadlineSocket> socket;
  std::shared_ptr<TProtocol> protocol;
};

Connection::Connection(std::string address)
    : peer_address(std::move(address)), impl(std::make_unique<Impl>()) {
  detail::RouteThriftLog();
  this->impl->peer = ParseIpAddress(this->peer_address);
}

Connection::~Connection() {
  this->Close();
}

const std::shared_ptr<TProtocol>& Connection::OpenTransfer(
    const std::string& step,
    base::Milliseconds period) {
  const auto& protocol = this->Open(step, period);
  this->impl->socket->SetTransfer(base::Now() + period, period);
  return protocol;
}

const std::shared_ptr<TProtocol>& Connection::Open(const std::string& step,
                                                   base::Milliseconds timeout) {
  if (timeout.count() <= 0) {
    throw base::NotReachedError(step, this->peer_address,
                                "no time is left for the call");
  }
  const base::Instant deadline = base::Now() + std::min(timeout, kMaxTimeout);
  Impl& current = *this->impl;
  if (current.socket != nullptr && current.socket->IsClosedOrReadable()) {
    this->Close();
  }
  if (current.socket != nullptr) {
    current.socket->SetDeadline(deadline);
    return current.protocol;
  }
  auto socket = std::make_shared<detail::DeadlineSocket>(current.peer);
  socket->SetDeadline(deadline);
  try {
    socket->open();
  } catch (const TException& error) {
    throw base::NotReachedError(step, this->peer_address, error.what());
  }
  current.protocol = std::make_shared<detail::ClientProtocol>(
      std::make_shared<detail::LimitedFramedTransport>(socket));
  current.socket = std::move(socket);
  return current.protocol;
}

void Connection::Close() {
  if (this->impl->socket != nullptr) {
    this->impl->socket->close();
  }
  this->impl->socket = nullptr;
  this->impl->protocol = nullptr;
}

void Connection::ThrowFailure(const std::string& step,
                              const std::exception& failure) const {
  if (dynamic_cast<const detail::MessageTooLong*>(&failure) != nullptr) {
    throw base::NotReachedError(step, this->peer_address, failure.what());
  }
  throw base::UnknownOutcomeError(step, this->peer_address, failure.what());
}

}  // namespace carawayvalve::wire
