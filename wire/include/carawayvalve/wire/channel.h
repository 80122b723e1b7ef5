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

// A TCP connection to another process of the system. Opens on first use and
// reopens after a failure. Never sends a call twice.
class Connection {
 public:
  // Throws base::Error unless `address` is a numeric IPv4 address and a port.
  explicit Connection(std::string address);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Prepares the connection for one call that ends within `timeout` from now.
  // Opens the connection if it isn't open; reopens it if the peer has closed it
  // or sent unsolicited data. Throws base::NotReachedError when the connection
  // can't be opened or `timeout` isn't positive.
  const std::shared_ptr<apache::thrift::protocol::TProtocol>& Open(
      const std::string& step,
      base::Milliseconds timeout);
  // The same for a call whose answer may have any size: it begins within
  // `period`, and each further period brings a part of it, see
  // core::TransferProgress.
  const std::shared_ptr<apache::thrift::protocol::TProtocol>& OpenTransfer(
      const std::string& step,
      base::Milliseconds period);

  // Closes the connection. An answer that is still in flight is never read.
  void Close();

  // Converts a failure within a call: throws base::NotReachedError when nothing
  // was sent, base::UnknownOutcomeError otherwise.
  [[noreturn]] void ThrowFailure(const std::string& step,
                                 const std::exception& failure) const;

  const std::string& address() const { return this->peer_address; }

 private:
  struct Impl;

  std::string peer_address;
  std::unique_ptr<Impl> impl;
};

namespace detail {

// Closes the connection if its scope is left by an exception.
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

// Calls a Thrift service. Throws base::NotReachedError when the call was
// certainly not sent and base::UnknownOutcomeError on other failures. Not
// thread-safe.
template <typename Client>
class Channel {
 public:
  // Throws base::Error unless `address` is a numeric IPv4 address and a port.
  // `timeout` is the default for calls.
  Channel(std::string address, base::Milliseconds timeout)
      : connection(std::move(address)), timeout(timeout) {}

  // Runs `call(client)` and returns its result; `step` names the call in
  // errors. The timeout includes connecting; when it is 0 or less, the call
  // isn't sent. A base::Error thrown by `call` passes through unchanged.
  template <typename Call>
  auto Invoke(const std::string& step,
              base::Milliseconds timeout,
              const Call& call) {
    Client client(this->connection.Open(step, timeout));
    return this->Run(step, client, call);
  }

  // Uses the channel's timeout.
  template <typename Call>
  auto Invoke(const std::string& step, const Call& call) {
    return this->Invoke(step, this->timeout, call);
  }

  // Waits for an answer of any size as long as it arrives, in periods of the
  // channel's timeout, see Connection::OpenTransfer.
  template <typename Call>
  auto InvokeTransfer(const std::string& step, const Call& call) {
    Client client(this->connection.OpenTransfer(step, this->timeout));
    return this->Run(step, client, call);
  }

  const std::string& address() const { return this->connection.address(); }

 private:
  template <typename Call>
  auto Run(const std::string& step, Client& client, const Call& call) {
    const detail::CloseOnException guard(this->connection);
    try {
      return call(client);
    } catch (const base::Error&) {
      throw;
    } catch (const std::exception& failure) {
      this->connection.ThrowFailure(step, failure);
    }
  }

  Connection connection;
  base::Milliseconds timeout;
};

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_CHANNEL_H_
