#ifndef CARAWAYVALVE_NET_SRC_CLIENT_CONNECTION_H_
#define CARAWAYVALVE_NET_SRC_CLIENT_CONNECTION_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/net/http_client.h"
#include "loop_state.h"
#include "message_parser.h"
#include "send_state.h"

namespace carawayvalve::net::detail {

using Endpoint = tcp::endpoint;

// The connections of one HttpClient.
class ClientState : public std::enable_shared_from_this<ClientState> {
 public:
  ClientState(EventLoop& loop, base::Duration default_keep_alive);

  // Returns an idle connection that hasn't expired and hasn't carried a call
  // with this CallOptions::echo, or null.
  std::shared_ptr<ClientConnection> TakeIdle(const Endpoint& endpoint,
                                             const HeaderField& echo);
  void PutIdle(const std::shared_ptr<ClientConnection>& connection,
               base::Instant expires_at);
  void Remove(const std::shared_ptr<ClientConnection>& connection);
  void CloseAll();
  void Sweep();
  // Checks periodically for peers that acknowledge nothing, while there is
  // unacknowledged data.
  void WatchPeers();
  int64_t idle_connections() const;

  EventLoop& loop;
  base::Duration default_keep_alive;
  std::shared_ptr<base::ByteBudget> budget;
  int64_t connections_opened = 0;
  int64_t last_connection = 0;
  std::set<std::shared_ptr<ClientConnection>> open;

 private:
  struct IdleConnection {
    std::shared_ptr<ClientConnection> connection;
    base::Instant expires_at;
  };

  std::map<Endpoint, std::vector<IdleConnection>> idle;
  void CheckPeers();

  Timer sweep_timer;
  bool sweeping = false;
  Timer peer_timer;
  bool watching_peers = false;
};

// One connection to a server, for one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(std::shared_ptr<ClientState> client,
                   const Endpoint& endpoint);

  void Begin(const Request& request,
             const CallOptions& options,
             HttpClient::Handler handler);
  // Connects without a call and keeps the connection for a later one.
  void Open(base::Duration timeout, HttpClient::ConnectHandler handler);
  // Ends the call without an event and resets the connection.
  void Cancel();
  void Close();
  void Fail(const std::string& reason, bool reset, bool too_large = false);
  void SetPaused(bool paused);
  // Returns whether a call whose response may bear this CallOptions::echo was
  // begun here. Errs towards true.
  bool HasCarried(const HeaderField& echo) const;
  // Returns whether bytes have arrived that the loop hasn't handled yet. While
  // the connection is idle, they answer no request of it.
  bool HasUnreadInput() const;
  // Fails the connection if its peer acknowledges nothing. Returns whether
  // written data is still unacknowledged.
  bool CheckPeer(base::Instant now);
  const Endpoint& endpoint() const { return this->peer; }
  // Returns how many bytes have arrived since the call began, handled or not.
  size_t received_bytes() const;
  // Returns the number of the call in flight, 0 when there is none.
  int64_t call_number() const {
    return this->handler == nullptr ? 0 : this->call_count;
  }

 private:
  void Connect(base::Duration timeout);
  void OnConnected(const error_code& error);
  void SendRequest();
  void Flush();
  void Receive();
  void OnReceived(const error_code& error, size_t size);
  void ProcessInput();
  bool ParseMessage();
  // Passes on what has been read of the body, unless it is to be complete
  // first. Returns whether the call goes on.
  bool PassBodyOn();
  // Counts a body that is read as a whole against the budget.
  void CountBody();
  // Goes on with the next response after one that isn't that to the call.
  // Returns false if the call has failed instead.
  bool SkipResponse();
  void OnEnd();
  void Finish();
  void Emit(const CallEvent& event);
  void ResetParser();

  std::shared_ptr<ClientState> client;
  Endpoint peer;
  tcp::socket socket;
  Timer connect_timer;
  base::Instant began_at;
  int64_t number;

  bool connected = false;
  bool closed = false;
  bool used_before = false;
  bool receiving = false;
  bool paused = false;
  bool sent = false;
  bool writing = false;
  // A write failed, and not because the peer had sent its end.
  bool is_broken = false;
  // The system's account of the written data can be read.
  bool has_send_state = false;
  bool unacknowledged = false;
  AcknowledgementTimer ack_timer;
  std::string output;
  std::array<char, 8192> buffer{};
  std::string input;
  std::optional<ResponseParser> parser;

  // Set while the connection is opened without a call.
  HttpClient::ConnectHandler on_open;

  // The call in flight; null when there is none.
  HttpClient::Handler handler;
  int64_t call_count = 0;
  HeaderField echo;
  // The hashes of the fields that its calls expected, without repetition.
  std::vector<uint64_t> carried;
  // A call accepted any response.
  bool expected_any = false;
  size_t max_body_bytes = 0;
  bool whole_body = false;
  size_t handled_bytes = 0;
  std::optional<base::ByteBudget::Buffer> counted;
  bool head_request = false;
  int other_responses = 0;
  bool head_emitted = false;
  // The timeout that the response's head states, if any.
  std::optional<base::Duration> server_keep_alive;
  bool skipping_response = false;
};

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_CLIENT_CONNECTION_H_
