#include "client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace carawayvalve::net::detail {

namespace {

constexpr std::chrono::seconds kSweepInterval(1);
// How often connections with unacknowledged data are checked.
constexpr base::Milliseconds kPeerCheckInterval(250);
// A server starts to count a connection's idle time earlier than its client.
constexpr base::Milliseconds kKeepAliveMargin(1000);
constexpr size_t kMaxHeaderBytes = size_t{64} * 1024;
constexpr size_t kMaxIdlePerPeer = 64;
// Interim responses, and ones to other calls, before that to a call.
constexpr int kMaxOtherResponses = 16;
// A connection of which more calls expected a field isn't kept.
constexpr size_t kMaxCarried = 1024;

uint64_t HashOf(const HeaderField& echo) {
  return std::hash<std::string>()(echo.name + ':' + echo.value);
}

// Returns the timeout of the Keep-Alive field, if there is one.
std::optional<base::Duration> KeepAliveTimeout(const HeaderFields& fields) {
  const std::string* text = FindField(fields, "Keep-Alive");
  if (text == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const size_t at = text->find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int64_t seconds = 0;
  const char* begin = text->data() + at + kName.size();
  const auto read =
      std::from_chars(begin, text->data() + text->size(), seconds);
  if (read.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

BodyFraming FramingOf(const ResponseParser& parser) {
  if (parser.need_eof()) {
    return BodyFraming::kConnectionClose;
  }
  return parser.chunked() ? BodyFraming::kChunked : BodyFraming::kLength;
}

}  // namespace

ClientState::ClientState(EventLoop& loop, base::Duration default_keep_alive)
    : loop(loop),
      default_keep_alive(default_keep_alive),
      sweep_timer(loop),
      peer_timer(loop) {}

std::shared_ptr<ClientConnection> ClientState::TakeIdle(
    const Endpoint& endpoint,
    const HeaderField& echo) {
  const auto found = this->idle.find(endpoint);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const base::Instant now = base::Now();
  std::vector<IdleConnection>& idle_to_peer = found->second;
  // The server is least likely to have closed the most recently used one.
  for (size_t i = idle_to_peer.size(); i-- > 0;) {
    std::shared_ptr<ClientConnection> candidate = idle_to_peer[i].connection;
    const bool usable =
        idle_to_peer[i].expires_at > now && !candidate->HasUnreadInput();
    if (usable && candidate->HasCarried(echo)) {
      continue;
    }
    idle_to_peer.erase(idle_to_peer.begin() + static_cast<ptrdiff_t>(i));
    if (usable) {
      return candidate;
    }
    candidate->Close();
  }
  return nullptr;
}

void ClientState::PutIdle(const std::shared_ptr<ClientConnection>& connection,
                          base::Instant expires_at) {
  auto& idle_to_peer = this->idle[connection->endpoint()];
  if (idle_to_peer.size() >= kMaxIdlePerPeer || expires_at <= base::Now()) {
    connection->Close();
    return;
  }
  idle_to_peer.push_back({connection, expires_at});
  if (!this->sweeping) {
    this->sweeping = true;
    this->sweep_timer.Start(kSweepInterval, [this] { this->Sweep(); });
  }
}

void ClientState::Remove(const std::shared_ptr<ClientConnection>& connection) {
  const auto found = this->idle.find(connection->endpoint());
  if (found != this->idle.end()) {
    std::erase_if(found->second, [&](const IdleConnection& entry) {
      return entry.connection == connection;
    });
  }
  this->open.erase(connection);
}

void ClientState::CloseAll() {
  const auto connections = this->open;
  for (const auto& connection : connections) {
    connection->Fail("closed by this process", false);
  }
}

void ClientState::Sweep() {
  const base::Instant now = base::Now();
  std::vector<std::shared_ptr<ClientConnection>> expired;
  for (const auto& [endpoint, idle_to_peer] : this->idle) {
    for (const IdleConnection& entry : idle_to_peer) {
      if (entry.expires_at <= now) {
        expired.push_back(entry.connection);
      }
    }
  }
  for (const auto& connection : expired) {
    connection->Close();
  }
  std::erase_if(this->idle,
                [](const auto& item) { return item.second.empty(); });
  this->sweeping = !this->idle.empty();
  if (this->sweeping) {
    this->sweep_timer.Start(kSweepInterval, [this] { this->Sweep(); });
  }
}

void ClientState::WatchPeers() {
  if (!std::exchange(this->watching_peers, true)) {
    this->peer_timer.Start(kPeerCheckInterval, [this] { this->CheckPeers(); });
  }
}

void ClientState::CheckPeers() {
  const base::Instant now = base::Now();
  // Copied because connections that fail are removed.
  const auto connections = this->open;
  this->watching_peers = false;
  for (const auto& connection : connections) {
    if (connection->CheckPeer(now)) {
      this->WatchPeers();
    }
  }
}

int64_t ClientState::idle_connections() const {
  int64_t count = 0;
  for (const auto& [endpoint, idle_to_peer] : this->idle) {
    count += static_cast<int64_t>(idle_to_peer.size());
  }
  return count;
}

ClientConnection::ClientConnection(std::shared_ptr<ClientState> client,
                                   const Endpoint& endpoint)
    : client(std::move(client)),
      peer(endpoint),
      socket(this->client->loop.state().context),
      connect_timer(this->client->loop),
      number(++this->client->last_connection) {}

void ClientConnection::Begin(const Request& request,
                             const CallOptions& options,
                             HttpClient::Handler on_event) {
  this->handler = std::move(on_event);
  ++this->call_count;
  this->paused = false;
  this->echo = options.echo;
  if (this->echo.name.empty()) {
    this->expected_any = true;
  } else {
    this->carried.push_back(HashOf(this->echo));
  }
  this->max_body_bytes = options.max_body_bytes;
  this->whole_body = options.whole_body;
  this->handled_bytes = 0;
  this->counted.reset();
  if (this->whole_body && this->client->budget != nullptr) {
    this->counted.emplace(this->client->budget, [weak = this->weak_from_this(),
                                                 number = this->call_count] {
      if (const auto self = weak.lock()) {
        self->client->loop.Post([self, number] {
          if (self->call_number() == number) {
            self->Fail("the response needs more memory than there is", false,
                       true);
          }
        });
      }
    });
  }
  this->head_request = request.method == "HEAD";
  this->other_responses = 0;
  this->sent = false;
  this->began_at = base::Now();
  this->output = PrintRequest(request, this->peer.address().to_string() + ":" +
                                           std::to_string(this->peer.port()));
  this->ResetParser();
  if (!this->connected) {
    this->Connect(options.connect_timeout);
    return;
  }
  // Posted, so that Start has returned the call before its first event.
  this->client->loop.Post([self = this->shared_from_this()] {
    if (self->handler != nullptr && !self->closed) {
      self->SendRequest();
    }
  });
}

bool ClientConnection::HasCarried(const HeaderField& expected) const {
  if (expected.name.empty()) {
    return false;
  }
  // A response to a call that expected any may lack the field.
  return (this->expected_any && expected.value.empty()) ||
         std::find(this->carried.begin(), this->carried.end(),
                   HashOf(expected)) != this->carried.end();
}

bool ClientConnection::HasUnreadInput() const {
  error_code error;
  return this->socket.available(error) > 0 || error;
}

size_t ClientConnection::received_bytes() const {
  error_code error;
  const size_t unread = this->connected ? this->socket.available(error) : 0;
  return this->handled_bytes + (error ? 0 : unread);
}

void ClientConnection::Open(base::Duration timeout,
                            HttpClient::ConnectHandler on_opened) {
  this->on_open = std::move(on_opened);
  this->Connect(timeout);
}

void ClientConnection::ResetParser() {
  this->parser.emplace();
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->body_limit(this->max_body_bytes);
  this->parser->skip(this->head_request);
  this->head_emitted = false;
  this->skipping_response = false;
}

void ClientConnection::Connect(base::Duration timeout) {
  ++this->client->connections_opened;
  this->connect_timer.Start(timeout, [self = this->shared_from_this()] {
    self->Fail("connect timed out", false);
  });
  this->socket.async_connect(
      this->peer, [self = this->shared_from_this()](const error_code& error) {
        self->OnConnected(error);
      });
}

void ClientConnection::OnConnected(const error_code& error) {
  if (this->closed) {
    return;
  }
  this->connect_timer.Cancel();
  if (error) {
    this->Fail("connect: " + error.message(),
               error == asio::error::connection_refused);
    return;
  }
  this->has_send_state = SetUpSocket(this->socket);
  error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->connected = true;
  if (const auto opened = std::exchange(this->on_open, nullptr)) {
    this->Receive();
    this->client->PutIdle(this->shared_from_this(),
                          base::Now() + this->client->default_keep_alive);
    opened(ConnectResult::kConnected);
    return;
  }
  this->SendRequest();
}

void ClientConnection::SendRequest() {
  const auto self = this->shared_from_this();
  this->sent = true;
  const base::Duration connect_time =
      this->used_before ? base::Duration(0) : base::Now() - this->began_at;
  this->Flush();
  this->Receive();
  if (!this->closed) {
    this->Emit(CallSent{this->used_before, connect_time, this->number});
  }
}

void ClientConnection::Flush() {
  error_code error;
  const size_t written =
      this->socket.write_some(asio::buffer(this->output), error);
  EraseFront(this->output, written);
  if (this->has_send_state) {
    this->unacknowledged = true;
    this->client->WatchPeers();
  }
  if (error && error != asio::error::would_block) {
    // The connection stays open to read what the peer sent before the error,
    // which the system reports only once: what follows reads as an orderly end.
    // A broken pipe means that there was such an end before.
    this->is_broken = error != asio::error::broken_pipe;
    this->output.clear();
    return;
  }
  if (this->output.empty()) {
    return;
  }
  this->writing = true;
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](const error_code& waited) {
        self->writing = false;
        if (!waited && !self->closed) {
          self->Flush();
        }
      });
}

bool ClientConnection::CheckPeer(base::Instant now) {
  if (!this->unacknowledged || this->closed) {
    return false;
  }
  const auto state = ReadSendState(this->socket.native_handle());
  if (state.has_value() && this->ack_timer.IsOverdue(*state, now)) {
    this->Fail("the peer acknowledges nothing", false);
    return false;
  }
  this->unacknowledged =
      !this->output.empty() || (state.has_value() && state->queued_bytes > 0);
  return this->unacknowledged;
}

void ClientConnection::SetPaused(bool now_paused) {
  this->paused = now_paused;
  if (!now_paused) {
    this->Receive();
  }
}

void ClientConnection::Receive() {
  if (this->receiving || this->closed || this->paused) {
    return;
  }
  this->receiving = true;
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](const error_code& error, size_t size) {
        self->receiving = false;
        self->OnReceived(error, size);
      });
}

void ClientConnection::OnReceived(const error_code& error, size_t size) {
  if (this->closed) {
    return;
  }
  if (error == asio::error::eof) {
    this->OnEnd();
    return;
  }
  if (error) {
    this->Fail(error.message(), error == asio::error::connection_reset);
    return;
  }
  if (this->handler == nullptr) {
    // Unsolicited data: no call is in flight.
    this->Close();
    return;
  }
  this->handled_bytes += size;
  this->input.append(this->buffer.data(), size);
  this->ProcessInput();
  this->Receive();
}

void ClientConnection::ProcessInput() {
  const auto self = this->shared_from_this();
  while (!this->closed && this->handler != nullptr && !this->input.empty()) {
    if (!this->ParseMessage()) {
      return;
    }
  }
}

// Returns whether a message has been parsed to its end.
bool ClientConnection::ParseMessage() {
  const auto error = this->parser->Read(this->input, kMaxHeaderBytes);
  if (error) {
    this->Fail("not a response: " + error.message(), false,
               error == boost::beast::http::error::body_limit);
    return false;
  }
  this->CountBody();
  if (!this->parser->is_header_done()) {
    return false;
  }
  if (this->parser->status / 100 == 1) {
    return this->SkipResponse();
  }
  if (!this->head_emitted && !this->skipping_response) {
    const std::string* echoed =
        this->echo.name.empty()
            ? nullptr
            : FindField(this->parser->fields, this->echo.name);
    // A response without the field may be an earlier one that is repeated.
    this->skipping_response =
        !this->echo.name.empty() &&
        (echoed == nullptr ? "" : *echoed) != this->echo.value;
    if (!this->skipping_response) {
      this->head_emitted = true;
      this->server_keep_alive = KeepAliveTimeout(this->parser->fields);
      this->Emit(CallHead{
          {this->parser->status, std::exchange(this->parser->fields, {})},
          FramingOf(*this->parser)});
      if (this->closed || this->handler == nullptr) {
        return false;
      }
    }
  }
  if (!this->PassBodyOn()) {
    return false;
  }
  if (!this->parser->is_done()) {
    return false;
  }
  if (this->skipping_response) {
    const std::string* echoed =
        FindField(this->parser->fields, this->echo.name);
    this->Emit(
        CallSkipped{this->parser->status, echoed == nullptr ? "" : *echoed});
    return !this->closed && this->handler != nullptr && this->SkipResponse();
  }
  this->Finish();
  return true;
}

bool ClientConnection::PassBodyOn() {
  if (this->skipping_response) {
    this->parser->body.clear();
    return true;
  }
  const bool waits = this->whole_body && !this->parser->is_done();
  if (waits || this->parser->body.empty()) {
    return true;
  }
  this->Emit(CallBody{std::exchange(this->parser->body, {})});
  return !this->closed && this->handler != nullptr;
}

void ClientConnection::CountBody() {
  if (this->counted.has_value()) {
    this->counted->Resize(this->parser->body.size());
  }
}

bool ClientConnection::SkipResponse() {
  const bool is_last = this->skipping_response && !this->parser->keep_alive();
  if (is_last) {
    this->Fail("closed after a response to another request", false);
    return false;
  }
  if (++this->other_responses > kMaxOtherResponses) {
    this->Fail("too many other responses", false);
    return false;
  }
  this->ResetParser();
  return true;
}

void ClientConnection::OnEnd() {
  if (this->is_broken) {
    this->Fail("the connection broke while the request was written", true);
    return;
  }
  if (this->handler != nullptr && this->head_emitted &&
      this->parser->need_eof()) {
    boost::beast::error_code error;
    this->parser->put_eof(error);
    if (!error) {
      if (this->PassBodyOn()) {
        this->Finish();
      }
      return;
    }
  }
  this->Fail("the peer closed the connection", false);
}

void ClientConnection::Finish() {
  this->counted.reset();
  const auto on_event = std::exchange(this->handler, nullptr);
  const bool reusable =
      this->parser->keep_alive() && !this->parser->need_eof() &&
      this->input.empty() && this->output.empty() && !this->writing &&
      !this->is_broken &&
      this->carried.size()<kMaxCarried&& this->client->default_keep_alive>
          base::Duration(0);
  this->parser.reset();
  if (reusable) {
    const base::Duration keep_alive_time =
        this->server_keep_alive.has_value()
            ? *this->server_keep_alive - base::Duration(kKeepAliveMargin)
            : this->client->default_keep_alive;
    this->used_before = true;
    this->client->PutIdle(this->shared_from_this(),
                          base::Now() + keep_alive_time);
  } else {
    this->Close();
  }
  on_event(CallDone{});
}

void ClientConnection::Emit(const CallEvent& event) {
  if (this->handler == nullptr) {
    return;
  }
  // A copy, as the handler may cancel the call and so destroy the original.
  const auto on_event = this->handler;
  on_event(event);
}

void ClientConnection::Fail(const std::string& reason,
                            bool reset,
                            bool too_large) {
  const auto on_event = std::exchange(this->handler, nullptr);
  const auto opened = std::exchange(this->on_open, nullptr);
  const bool was_sent = this->sent;
  const size_t received = this->received_bytes();
  this->Close();
  if (opened != nullptr) {
    opened(reset ? ConnectResult::kRefused : ConnectResult::kNoAnswer);
  }
  if (on_event != nullptr) {
    on_event(CallFailed{!was_sent, this->used_before, reset, reason, too_large,
                        received});
  }
}

void ClientConnection::Cancel() {
  this->handler = nullptr;
  // A reset discards the rest of the request, so that it can't arrive later.
  error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void ClientConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->connect_timer.Cancel();
  this->counted.reset();
  error_code ignored;
  this->socket.close(ignored);
  this->client->Remove(this->shared_from_this());
}

}  // namespace carawayvalve::net::detail
