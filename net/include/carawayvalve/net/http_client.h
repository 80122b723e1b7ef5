#ifndef CARAWAYVALVE_NET_HTTP_CLIENT_H_
#define CARAWAYVALVE_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "carawayvalve/base/address.h"
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
  // Never uses a kept connection.
  bool fresh_connection = false;
  // A response belongs to this call only if it carries this field with this
  // value; others are skipped. Empty for calls whose responses don't say.
  HeaderField echo;

  bool operator==(const CallOptions&) const = default;
};

// The first bytes of the request were given to the connection.
struct CallSent {
  // The connection had carried an earlier call.
  bool kept_connection = false;
  // Set for a new connection: from the call to its establishment.
  base::Duration connect_time{};
};

// The head of the response has arrived.
struct CallHead {
  ResponseHead head;
};

// A part of the response's body.
struct CallBody {
  std::string data;
};

// The response is complete.
struct CallDone {};

// There will be no complete response.
struct CallFailed {
  // Nothing of the request was sent.
  bool not_sent = false;
  bool kept_connection = false;
  // The peer reset the connection rather than ending it or staying silent.
  bool reset = false;
  std::string reason;
};

using CallEvent =
    std::variant<CallSent, CallHead, CallBody, CallDone, CallFailed>;

// A call under way. Destroying it cancels it.
class Call {
 public:
  Call(std::weak_ptr<detail::ClientConnection> connection, int64_t number);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Closes the connection; no event follows.
  void Cancel();
  // Stops reading the response until Resume, so that a slow reader doesn't
  // fill memory.
  void Pause();
  void Resume();

 private:
  std::shared_ptr<detail::ClientConnection> ActiveConnection() const;

  std::weak_ptr<detail::ClientConnection> connection;
  // The connection goes on to other calls when this one has ended.
  int64_t number;
};

// Calls HTTP/1.1 servers over kept connections. Never sends a request again by
// itself.
class HttpClient {
 public:
  using Handler = std::function<void(const CallEvent&)>;

  // `keep_time` is how long a connection is kept idle when its server doesn't
  // say.
  HttpClient(EventLoop& loop, base::Duration default_keep_alive);
  ~HttpClient();

  // Events arrive later, never from within Start. After CallDone or CallFailed
  // there are none.
  std::unique_ptr<Call> Start(const base::Address& address,
                              const Request& request,
                              const CallOptions& options,
                              Handler handler);

  // Closes all connections, also those in use; their calls fail.
  void CloseAll();

  // New connections since the start.
  int64_t connections_opened() const;
  // Connections that are idle.
  int64_t idle_connections() const;

 private:
  std::shared_ptr<detail::ClientState> client;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_HTTP_CLIENT_H_
