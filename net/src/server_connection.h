#ifndef CARAWAYVALVE_NET_SRC_SERVER_CONNECTION_H_
#define CARAWAYVALVE_NET_SRC_SERVER_CONNECTION_H_

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "carawayvalve/net/http_server.h"
#include "loop_state.h"
#include "message_parser.h"

namespace carawayvalve::net::detail {

// What the connections of one server share.
class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(EventLoop& loop,
              const base::Address& address,
              HttpServer::Handler handler);

  void Start();
  void Close();
  // Closes connections that have been silent for too long.
  void Sweep();
  void CloseIdle();
  size_t connections() const { return this->open.size(); }
  uint16_t port() const { return this->acceptor.local_endpoint().port(); }

  EventLoop& loop;
  HttpServer::Limits limits;
  HttpServer::Handler handler;
  bool close_after_answers = false;

 private:
  friend class ServerConnection;

  void Accept();

  tcp::acceptor acceptor;
  Timer sweep_timer;
  // Waits before accepting again when the process is out of descriptors.
  Timer accept_timer;
  std::set<std::shared_ptr<ServerConnection>> open;
};

// One connection of a caller: reads requests one after the other and writes
// their answers.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server, tcp::socket socket);

  void Start();
  // Closes at once.
  void Close();
  // Closes if the connection has been silent for too long at `now`.
  void CheckTimeouts(base::Instant now);
  bool idle() const { return this->phase == Phase::kIdle; }

  void Write(std::string_view data);
  // The answer of the present request is complete.
  void EndAnswer();
  // Decides whether the answer that begins now closes the connection.
  bool DecideClose() {
    this->closing = !this->keep_alive || this->server->close_after_answers;
    return this->closing;
  }
  size_t unsent_bytes() const { return this->output.size(); }

 private:
  enum class Phase {
    kIdle,
    kReadingHead,
    kReadingBody,
    kAnswering,
    // The last answer is written; what still arrives is thrown away, since a
    // connection closed with unread bytes is reset and may lose the answer.
    kLingering,
    kClosed,
  };

  void Receive();
  void OnReceived(const error_code& error, size_t size);
  void ProcessInput();
  void OnHead();
  void OnRequest();
  void Reject(int status);
  void Flush();
  void OnWritable(const error_code& error);
  void Linger();

  std::shared_ptr<ServerState> server;
  tcp::socket socket;
  Phase phase = Phase::kIdle;
  std::array<char, 8192> buffer{};
  std::string input;
  std::optional<RequestParser> parser;
  base::Instant first_byte_at;
  base::Instant last_activity;
  bool keep_alive = true;
  bool closing = false;
  bool receiving = false;
  bool continue_sent = false;
  std::string output;
  bool writing = false;
  bool linger_when_written = false;
  size_t discarded_bytes = 0;
  std::weak_ptr<Exchange> exchange;
};

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_SERVER_CONNECTION_H_
