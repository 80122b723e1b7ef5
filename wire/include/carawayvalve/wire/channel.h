#ifndef CARAWAYVALVE_WIRE_CHANNEL_H_
#define CARAWAYVALVE_WIRE_CHANNEL_H_

#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/time.h"

namespace apache::thrift::protocol {
class TProtocol;
}

namespace carawayvalve::wire {

// A TCP connection to one process of the system. It opens when first used and
// again after a failure. It never sends a call twice.
class Connection {
 public:
  // `address` is an IPv4 number and a port. Throws base::Error when it isn't.
  explicit Connection(std::string address);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Readies the connection for one call, which has `timeout` from here on.
  // Opens it if it isn't open, and again if the peer has closed it or sent
  // what nobody asked for. Throws base::NotReachedError.
  const std::shared_ptr<apache::thrift::protocol::TProtocol>& Open(
      const std::string& step,
      base::Milliseconds timeout);

  // Drops the connection; an answer that still arrives on it is never read.
  void Close();

  // Throws what a failure within a call means: base::NotReachedError when
  // nothing was sent, else base::UnknownOutcomeError.
  [[noreturn]] void ThrowFailure(const std::string& step,
                                 const std::exception& failure) const;

  const std::string& address() const { return this->peer_address; }

 private:
  struct Impl;

  std::string peer_address;
  std::unique_ptr<Impl> impl;
};

namespace detail {

// Closes the connection if an exception ends the scope.
class CloseOnException {
 public:
  explicit CloseOnException(Connection& connection) : connection(connection) {}
  ~CloseOnException() {
    if (std::uncaught_exceptions() > this->exceptions) {
      this->connection.Close();
    }
  }

  CloseOnException(const CloseOnException&) = delete;
  CloseOnException& operator=(const CloseOnException&) = delete;

 private:
  Connection& connection;
  int exceptions = std::uncaught_exceptions();
};

}  // namespace detail

// Calls a Thrift service. Failures become base::NotReachedError when the call
// was certainly not sent and base::UnknownOutcomeError otherwise. For one
// thread at a time.
template <typename Client>
class Channel {
 public:
  // `address` is an IPv4 number and a port. Throws base::Error when it isn't.
  // `timeout` is for calls that bring none of their own.
  Channel(std::string address, base::Milliseconds timeout)
      : connection(std::move(address)), timeout(timeout) {}

  // Runs `call(client)`; `step` names it in errors. The call ends within the
  // timeout, connecting included, and isn't sent when that is 0 or less. A
  // base::Error that `call` throws passes unchanged.
  template <typename Call>
  auto Invoke(const std::string& step,
              base::Milliseconds timeout,
              const Call& call) {
    Client client(this->connection.Open(step, timeout));
    const detail::CloseOnException guard(this->connection);
    try {
      return call(client);
    } catch (const base::Error&) {
      throw;
    } catch (const std::exception& failure) {
      this->connection.ThrowFailure(step, failure);
    }
  }

  // The same with the channel's timeout.
  template <typename Call>
  auto Invoke(const std::string& step, const Call& call) {
    return this->Invoke(step, this->timeout, call);
  }

  const std::string& address() const { return this->connection.address(); }

 private:
  Connection connection;
  base::Milliseconds timeout;
};

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_CHANNEL_H_
