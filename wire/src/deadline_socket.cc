#include "deadline_socket.h"

#include <poll.h>
#include <thrift/transport/TTransportException.h>

#include <chrono>

namespace carawayvalve::wire::detail {

using apache::thrift::transport::TTransportException;

DeadlineSocket::DeadlineSocket(const base::Address& peer)
    : TSocket(peer.host, peer.port) {
  this->setNoDelay(true);
}

void DeadlineSocket::SetDeadline(base::Instant deadline) {
  this->deadline = deadline;
  this->period.reset();
}

void DeadlineSocket::SetTransfer(base::Instant deadline,
                                 base::Duration period) {
  this->deadline = deadline;
  this->period = period;
  this->progress = {};
  this->received_bytes = 0;
}

bool DeadlineSocket::BeginNextPeriod() {
  if (!this->period.has_value() ||
      !this->progress.Continues(this->received_bytes, *this->period)) {
    return false;
  }
  this->deadline = base::Now() + *this->period;
  return true;
}

bool DeadlineSocket::IsClosedOrReadable() {
  pollfd polled{this->getSocketFD(), POLLIN, 0};
  return ::poll(&polled, 1, 0) != 0;
}

void DeadlineSocket::open() {
  this->setConnTimeout(this->RemainingMs());
  TSocket::open();
}

uint32_t DeadlineSocket::read(uint8_t* buffer, uint32_t count) {
  for (;;) {
    this->setRecvTimeout(this->RemainingMs());
    try {
      const uint32_t size = TSocket::read(buffer, count);
      this->received_bytes += size;
      return size;
    } catch (const TTransportException& error) {
      if (error.getType() != TTransportException::TIMED_OUT ||
          !this->BeginNextPeriod()) {
        throw;
      }
    }
  }
}

uint32_t DeadlineSocket::write_partial(const uint8_t* buffer, uint32_t count) {
  this->setSendTimeout(this->RemainingMs());
  return TSocket::write_partial(buffer, count);
}

// Never returns 0, which Thrift treats as no timeout.
int DeadlineSocket::RemainingMs() {
  auto left =
      std::chrono::ceil<base::Milliseconds>(this->deadline - base::Now());
  if (left.count() <= 0 && this->BeginNextPeriod()) {
    left = std::chrono::ceil<base::Milliseconds>(*this->period);
  }
  if (left.count() <= 0) {
    throw TTransportException(TTransportException::TIMED_OUT,
                              "the call's timeout has expired");
  }
  return static_cast<int>(left.count());
}

}  // namespace carawayvalve::wire::detail
