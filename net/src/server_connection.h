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
#include "send_state.h"

namespace carawayvalve::net::detail {

// The state shared by the connections of one HttpServer.
class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(EventLoop& loop,
              const base::Address& address,
              HttpServer::Handler handler);

  void Start();
  void Close();
  // Checks all connections for timeouts, periodically.
  void Sweep();
  void CloseIdle(base::Duration silence);
  size_t connections() const { return this->open.size(); }
  uint16_t port() const { return this->acceptor.local_endpoint().port(); }

  EventLoop& loop;
  HttpServer::Limits limits;
  HttpServer::Handler handler;
  std::shared_ptr<base::ByteBudget> budget;
  bool close_after_answers = false;

 private:
  friend class ServerConnection;

  void Accept();

  tcp::acceptor acceptor;
  Timer sweep_timer;
  // Delays the next accept when the process is out of descriptors.
  Timer accept_timer;
  std::set<std::shared_ptr<ServerConnection>> open;
};

// A caller's connection. Reads requests one at a time and writes their answers.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server, tcp::socket socket);

  void Start();
  // Closes immediately and notifies the exchange in progress and, if its caller
  // hasn't received the whole answer, the handler of OnUndelivered.
  void Close(DeliveryEnd end);
  // Closes the connection, or rejects its request with 408, if a timeout has
  // passed at `now`.
  void CheckTimeouts(base::Instant now);
  // Returns whether no request is being read or answered, the caller has
  // received all answers and nothing has been received or sent since `since`.
  bool IdleSince(base::Instant since);

  void Write(std::string_view data);
  // Ends the answer to the current request: continues with the next request, or
  // lingers and closes.
  void EndAnswer();
  // Decides whether the answer that starts now closes the connection.
  bool DecideClose() {
    this->closing = !this->keep_alive || this->server->close_after_answers;
    return this->closing;
  }
  // Closes the connection after the current answer.
  void CloseAfterAnswer() { this->keep_alive = false; }
  size_t unsent_bytes() const { return this->output.size(); }
  // See Exchange.
  void OnUndelivered(std::function<void(const UndeliveredAnswer&)> handler) {
    this->on_undelivered = std::move(handler);
  }
  void KeepUntil(base::Instant deadline) { this->kept_until = deadline; }

 private:
  enum class Phase {
    kIdle,
    kReadingHead,
    kReadingBody,
    kAnswering,
    // The last answer is written. Input is read and discarded, since closing a
    // connection with unread bytes resets it, which may lose the answer.
    kLingering,
    kClosed,
  };

  void Receive();
  void OnReceived(const error_code& error, size_t size);
  void ProcessInput();
  void OnHead();
  void OnRequest();
  void Reject(int status);
  // Counts what this connection holds against the budget.
  void CountBytes();
  // Frees what this connection holds, as it was dropped from the budget.
  void OnDropped();
  void Flush();
  void OnWritable(const error_code& error);
  void Linger();
  // Notes what the caller has received. Returns the state of what was written,
  // if the system tells it.
  std::optional<SendState> UpdateDelivery(base::Instant now);
  // Closes the connection if the caller is silent or leaves the answer unread.
  void CheckDelivery(base::Instant now);
  // Returns when an answer that nothing more is read of is given up.
  base::Instant GiveUpUnreadAt() const;

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
  // The system's account of the written data can be read.
  bool has_send_state = false;
  // The caller may not have received all that was written.
  bool undelivered = false;
  uint64_t acknowledged_bytes = 0;
  // When the caller last received something.
  base::Instant last_progress;
  AcknowledgementTimer ack_timer;
  std::optional<base::Instant> kept_until;
  std::function<void(const UndeliveredAnswer&)> on_undelivered;
  std::weak_ptr<Exchange> exchange;
  // The size of the request that is being answered, which its exchange holds.
  size_t request_bytes = 0;
  std::optional<base::ByteBudget::Buffer> counted;
};

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_SERVER_CONNECTION_H_
