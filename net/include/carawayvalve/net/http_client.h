#ifndef CARAWAYVALVE_NET_HTTP_CLIENT_H_
#define CARAWAYVALVE_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/byte_budget.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/net/event_loop.h"
#include "carawayvalve/net/message.h"

namespace carawayvalve::net {

namespace detail {
class ClientConnection;
class ClientState;
}  // namespace detail

struct CallOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Opens a new connection even if an idle one could be reused.
  bool fresh_connection = false;
  // Responses without this field and value belong to other calls and are
  // skipped; a missing field counts as empty. With an empty name, any response
  // is accepted. No connection carries two calls with the same field and value:
  // a server may repeat its response to the first one.
  HeaderField echo;
  // The call fails if the response's body is longer.
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  // Passes the body on in one part, once it is complete. Until then it counts
  // against the client's budget.
  bool whole_body = false;

  bool operator==(const CallOptions&) const = default;
};

// The first bytes of the request have been written to the connection.
struct CallSent {
  // The connection has carried an earlier call.
  bool kept_connection = false;
  // Time from the start of the call until the connection was established; 0
  // for a kept connection.
  base::Duration connect_time{};
  // Identifies the connection among those of the client.
  int64_t connection = 0;
};

// A response that isn't the one to the call was dropped: its field
// CallOptions::echo has another value, `echo`.
struct CallSkipped {
  int status = 0;
  std::string echo;
};

// The head of the response has arrived.
struct CallHead {
  ResponseHead head;
  BodyFraming framing = BodyFraming::kLength;
};

// A part of the response's body.
struct CallBody {
  std::string data;
};

// The response is complete.
struct CallDone {};

// The call has failed: no complete response will arrive.
struct CallFailed {
  // Nothing of the request was sent.
  bool not_sent = false;
  bool kept_connection = false;
  // The peer refused or reset the connection, as opposed to an orderly close or
  // a timeout.
  bool reset = false;
  std::string reason;
  // The response was longer than the call or the client's budget allows.
  bool too_large = false;
  // What had arrived of the response.
  size_t received_bytes = 0;
};

using CallEvent = std::
    variant<CallSent, CallSkipped, CallHead, CallBody, CallDone, CallFailed>;

// A call in flight. Destroying it cancels the call.
class Call {
 public:
  Call(std::weak_ptr<detail::ClientConnection> connection, int64_t number);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Closes the connection and emits no further event.
  void Cancel();
  // Stops reading the response until Resume, which bounds the memory used for
  // a slow reader.
  void Pause();
  void Resume();
  // Returns how many bytes of the response have arrived; 0 once the call has
  // ended. What was received counts before the loop has handled it.
  size_t received_bytes() const;

 private:
  std::shared_ptr<detail::ClientConnection> ActiveConnection() const;

  std::weak_ptr<detail::ClientConnection> connection;
  // Identifies this call, as the connection may carry others after it.
  int64_t number;
};

enum class ConnectResult { kConnected, kRefused, kNoAnswer };

// Calls HTTP/1.1 servers over persistent connections. Never retries a request.
class HttpClient {
 public:
  using Handler = std::function<void(const CallEvent&)>;

  // `default_keep_alive` is how long an idle connection is kept when its server
  // sends no keep-alive timeout; with 0 none is kept, whatever its server
  // sends.
  HttpClient(EventLoop& loop, base::Duration default_keep_alive);
  ~HttpClient();

  // Bounds what the bodies that are read as a whole hold together. Applies to
  // calls that start later.
  void SetBudget(std::shared_ptr<base::ByteBudget> budget);

  // Starts a call and passes its events to `handler` from the loop, never from
  // within Start. CallDone or CallFailed is the last one.
  std::unique_ptr<Call> Start(const base::Address& address,
                              const Request& request,
                              const CallOptions& options,
                              Handler handler);

  // Opens a new connection, which is kept for a later call, and passes the
  // result to `handler` from the loop.
  using ConnectHandler = std::function<void(ConnectResult)>;
  void Connect(const base::Address& address,
               base::Duration timeout,
               ConnectHandler handler);

  // Closes all connections, including those in use, whose calls fail.
  void CloseAll();

  // Returns the number of connections opened since construction.
  int64_t connections_opened() const;
  int64_t idle_connections() const;

 private:
  std::shared_ptr<detail::ClientState> client;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_HTTP_CLIENT_H_
