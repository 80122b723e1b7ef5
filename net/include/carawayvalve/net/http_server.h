#ifndef CARAWAYVALVE_NET_HTTP_SERVER_H_
#define CARAWAYVALVE_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/byte_budget.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/net/event_loop.h"
#include "carawayvalve/net/message.h"

namespace carawayvalve::net {

namespace detail {
class ServerConnection;
class ServerState;
}  // namespace detail

// Why a connection ended before its caller had received the whole answer.
enum class DeliveryEnd {
  // The caller closed or reset the connection.
  kGone,
  // The caller's host acknowledged nothing for some seconds.
  kSilent,
  // The caller read nothing for too long.
  kUnread,
  // The memory was needed for other requests.
  kMemory,
  // The server broke the answer off.
  kAborted,
  // The server was closed.
  kStop,
};

// Returns the name of the reason in logs and metrics.
const char* NameOf(DeliveryEnd end);

// An answer, or its beginning, that its caller hasn't received completely.
struct UndeliveredAnswer {
  DeliveryEnd end = DeliveryEnd::kGone;
  // Bytes that were written and not acknowledged by the caller's host, as far
  // as the system keeps account of them.
  size_t bytes_left = 0;

  bool operator==(const UndeliveredAnswer&) const = default;
};

// A completely read request and the means to answer it. Destroying it before
// the answer has ended closes the connection, so that the caller can tell that
// the answer is incomplete.
class Exchange {
 public:
  Exchange(std::shared_ptr<detail::ServerConnection> connection,
           Request request,
           base::Instant first_byte_at);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return this->message; }
  // Returns when the first byte of the request was read.
  base::Instant first_byte_at() const { return this->arrived_at; }
  // Returns when the last byte of the request was read.
  base::Instant read_at() const { return this->completed_at; }

  // Sends a complete answer, without the body if the status doesn't allow one.
  // If an answer has already started, aborts it instead, since the two can't be
  // combined.
  void Respond(const Response& response);

  // Send an answer in parts: Begin, any number of Send, then Finish. The body
  // is chunked, or ends with its connection, which is closed then. It is left
  // out if the request was a HEAD.
  void Begin(const ResponseHead& head,
             BodyFraming framing = BodyFraming::kChunked);
  void Send(std::string_view data);
  void Finish();

  // Closes the connection without finishing the answer.
  void Abort();

  // Calls `handler` once if the connection closes before the answer has ended.
  void OnDisconnect(std::function<void()> handler);
  // Calls `handler` once if the connection closes before the caller has
  // received the whole answer, also after the end of this exchange.
  void OnUndelivered(std::function<void(const UndeliveredAnswer&)> handler);
  // Keeps the answer until `deadline` for a caller that reads nothing, and for
  // some seconds after it last read. Without a deadline,
  // HttpServer::Limits::idle_timeout applies.
  void KeepUntil(base::Instant deadline);
  bool disconnected() const { return this->caller_disconnected; }
  bool answer_started() const { return this->started; }
  // Returns the bytes of the answer not yet written to the connection.
  size_t unsent_bytes() const;

 private:
  friend class detail::ServerConnection;

  void NotifyDisconnect();
  // Returns whether the request is one whose answer has no body.
  bool WantsHeadAlone() const { return this->message.method == "HEAD"; }

  std::shared_ptr<detail::ServerConnection> connection;
  Request message;
  base::Instant arrived_at;
  base::Instant completed_at;
  BodyFraming framing = BodyFraming::kLength;
  std::function<void()> on_disconnect;
  bool caller_disconnected = false;
  bool started = false;
  bool ended = false;
};

// Serves HTTP/1.1. Answers requests with invalid or ambiguous framing, and ones
// over the limits, with 400, 408, 413 or 431 and closes their connection.
class HttpServer {
 public:
  struct Limits {
    int64_t max_header_bytes = 16 * 1024;
    int64_t max_body_bytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    base::Duration header_timeout = std::chrono::seconds(3);
    // Without a byte from the caller, except while an answer is in progress or
    // the caller reads it.
    base::Duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const Limits&) const = default;
  };
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  // Starts listening on `address`. Throws base::ListenError when it can't.
  HttpServer(EventLoop& loop, const base::Address& address, Handler handler);
  ~HttpServer();

  // Replaces the limits. Header and body sizes apply to requests that start
  // afterwards.
  void SetLimits(const Limits& limits);

  // Counts what the connections opened from now on hold against `budget`. A
  // connection that is dropped answers the request that it reads with 503, or
  // is closed if its caller doesn't read the answer.
  void SetBudget(std::shared_ptr<base::ByteBudget> budget);

  // Closes each connection after its next answer, from now on.
  void CloseAfterAnswers();
  // Closes the connections on which no request is being read or answered, whose
  // callers have received all answers and that have been silent for this long,
  // also since they were opened.
  void CloseIdle(base::Duration silence);

  size_t connections() const;
  // Returns the port in use, which the system chooses for port 0.
  uint16_t port() const;

 private:
  std::shared_ptr<detail::ServerState> server;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_HTTP_SERVER_H_
