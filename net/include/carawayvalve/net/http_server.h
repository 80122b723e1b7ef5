#ifndef CARAWAYVALVE_NET_HTTP_SERVER_H_
#define CARAWAYVALVE_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/net/event_loop.h"
#include "carawayvalve/net/message.h"

namespace carawayvalve::net {

namespace detail {
class ServerConnection;
class ServerState;
}  // namespace detail

// One request that was read whole, and the way to answer it. If it is
// destroyed before its answer has ended, the connection is closed, so that the
// caller doesn't take what it got for a whole answer.
class Exchange {
 public:
  Exchange(std::shared_ptr<detail::ServerConnection> connection,
           Request request,
           base::Instant first_byte_at);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return this->message; }
  // When the first byte of the request was read.
  base::Instant first_byte_at() const { return this->arrived_at; }
  // When its last byte was read.
  base::Instant read_at() const { return this->completed_at; }

  // Sends a whole answer. A body that the status doesn't allow is left out.
  // Breaks off an answer that was begun, as its parts and this one don't match.
  void Respond(const Response& response);

  // Sends an answer in parts: Begin, any number of Send, Finish.
  void Begin(const ResponseHead& head);
  void Send(std::string_view data);
  void Finish();

  // Closes the connection in mid-answer.
  void Abort();

  // `handler` is called once if the caller leaves before the answer has ended.
  void OnDisconnect(std::function<void()> handler);
  bool disconnected() const { return this->caller_disconnected; }
  // The answer has begun.
  bool answer_started() const { return this->started; }
  // Bytes of the answer that the caller has not taken yet.
  size_t unsent_bytes() const;

 private:
  friend class detail::ServerConnection;

  void NotifyDisconnect();

  std::shared_ptr<detail::ServerConnection> connection;
  Request message;
  base::Instant arrived_at;
  base::Instant completed_at;
  std::function<void()> on_disconnect;
  bool caller_disconnected = false;
  bool started = false;
  bool ended = false;
};

// Serves HTTP/1.1. Requests with broken or doubtful framing, and ones over the
// limits, are answered here with 400, 408, 413 or 431, and their connection is
// closed.
class HttpServer {
 public:
  struct Limits {
    int64_t max_header_bytes = 16 * 1024;
    int64_t max_body_bytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    base::Duration header_timeout = std::chrono::seconds(3);
    // Without a byte from the caller while no answer is under way.
    base::Duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const Limits&) const = default;
  };
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  // Listens at once. Throws base::Error when the address can't be had.
  HttpServer(EventLoop& loop, const base::Address& address, Handler handler);
  ~HttpServer();

  // Holds for requests that begin from now on.
  void SetLimits(const Limits& limits);

  // From here on each answer closes its connection.
  void CloseAfterAnswers();
  // Closes the connections on which no request is being read or answered.
  void CloseIdle();

  size_t connections() const;
  // The port in use, for an address whose port is 0.
  uint16_t port() const;

 private:
  std::shared_ptr<detail::ServerState> server;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_HTTP_SERVER_H_
