#include "listening_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thrift/transport/TTransportException.h>

#include <chrono>
#include <thread>

#include "carawayvalve/base/time.h"

namespace carawayvalve::wire::detail {

using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;

namespace {

// How long a client may read nothing of an answer before it is disconnected.
constexpr base::Milliseconds kSendTimeout{2000};
constexpr base::Milliseconds kAcceptRetryInterval{200};
// TCP keep-alive detects an unreachable client after the idle time and the
// probes. Without it the connection would stay open for ever.
constexpr std::chrono::seconds kIdleBeforeProbes{30};
constexpr std::chrono::seconds kProbeInterval{10};
constexpr int kMaxProbes = 3;

void SetOption(int fd, int level, int option, int value) {
  ::setsockopt(fd, level, option, &value, sizeof(value));
}

void EnableKeepAliveProbes(int fd) {
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(kIdleBeforeProbes.count()));
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(kProbeInterval.count()));
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kMaxProbes);
}

}  // namespace

ListeningSocket::ListeningSocket(const base::Address& address)
    : TServerSocket(address.host, address.port), log("wire") {
  this->setSendTimeout(static_cast<int>(kSendTimeout.count()));
  this->setAcceptCallback(&EnableKeepAliveProbes);
}

// Reports other errors as timeouts, since Thrift's server stops listening on
// any error but a timeout.
std::shared_ptr<TTransport> ListeningSocket::acceptImpl() {
  try {
    return TServerSocket::acceptImpl();
  } catch (const TTransportException& fault) {
    if (fault.getType() != TTransportException::UNKNOWN) {
      throw;
    }
    this->log.Warn(std::string("A connection was not accepted: ") +
                   fault.what() + ".");
    std::this_thread::sleep_for(kAcceptRetryInterval);
    throw TTransportException(TTransportException::TIMED_OUT, fault.what());
  }
}

}  // namespace carawayvalve::wire::detail
