#include "server_connection.h"

#include <algorithm>
#include <utility>

#include "carawayvalve/base/listen.h"

namespace carawayvalve::net::detail {

namespace {

// How often connections are checked for timeouts.
constexpr base::Milliseconds kSweepInterval(250);
// How long a lingering connection may be silent before it is closed.
constexpr std::chrono::seconds kMaxLingerSilence(1);
// A lingering connection that sends more than this is closed as a likely
// attack.
constexpr size_t kMaxDiscardedBytes = size_t{8} * 1024 * 1024;
// Reading stops during an answer once this many bytes of later requests have
// been buffered.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
constexpr base::Milliseconds kAcceptRetryInterval(50);
// After its deadline, an answer is kept for this long after its caller last
// read some of it.
constexpr base::Milliseconds kMaxUnreadTime(2500);
// When a caller whose request found no memory may come back.
constexpr int kRetryAfterSeconds = 1;
constexpr int kBacklog = 512;
constexpr int kHttp11 = 11;

int StatusOf(const boost::beast::error_code& error) {
  namespace http = boost::beast::http;
  if (error == http::error::header_limit) {
    return 431;
  }
  if (error == http::error::body_limit) {
    return 413;
  }
  return 400;
}

// The system fails a connection with a timeout when its peer acknowledges
// nothing.
DeliveryEnd EndOf(const error_code& error) {
  return error == asio::error::timed_out ? DeliveryEnd::kSilent
                                         : DeliveryEnd::kGone;
}

// Rejects framing that two parsers may interpret differently, which would allow
// request smuggling: a second request hidden in the body of the first.
bool HasAmbiguousFraming(const RequestParser& parser) {
  const int64_t lengths = CountFields(parser.fields, "Content-Length");
  const int64_t encodings = CountFields(parser.fields, "Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    return true;
  }
  const std::string* encoding = FindField(parser.fields, "Transfer-Encoding");
  return encoding != nullptr && !SameFieldName(*encoding, "chunked");
}

}  // namespace

ServerState::ServerState(EventLoop& loop,
                         const base::Address& address,
                         HttpServer::Handler handler)
    : loop(loop),
      handler(std::move(handler)),
      acceptor(loop.state().context),
      sweep_timer(loop),
      accept_timer(loop) {
  try {
    const auto endpoint = ToEndpoint<tcp::endpoint>(address);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(kBacklog);
  } catch (const boost::system::system_error& error) {
    throw base::ListenError("listen",
                            address.host + ":" + std::to_string(address.port),
                            error.what());
  }
}

void ServerState::Start() {
  this->Accept();
  this->Sweep();
}

void ServerState::Close() {
  error_code ignored;
  this->acceptor.close(ignored);
  this->sweep_timer.Cancel();
  this->accept_timer.Cancel();
  const auto connections = this->open;
  for (const auto& connection : connections) {
    connection->Close(DeliveryEnd::kStop);
  }
}

void ServerState::Sweep() {
  const base::Instant now = base::Now();
  const auto connections = this->open;
  for (const auto& connection : connections) {
    connection->CheckTimeouts(now);
  }
  this->sweep_timer.Start(kSweepInterval, [this] { this->Sweep(); });
}

void ServerState::CloseIdle(base::Duration silence) {
  const base::Instant since = base::Now() - silence;
  const auto connections = this->open;
  for (const auto& connection : connections) {
    if (connection->IdleSince(since)) {
      connection->Close(DeliveryEnd::kStop);
    }
  }
}

void ServerState::Accept() {
  this->acceptor.async_accept([self = this->shared_from_this()](
                                  const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      // Usually the descriptor limit: retries, as connections close over time.
      self->accept_timer.Start(kAcceptRetryInterval,
                               [self] { self->Accept(); });
      return;
    }
    const auto connection =
        std::make_shared<ServerConnection>(self, std::move(socket));
    self->open.insert(connection);
    connection->Start();
    self->Accept();
  });
}

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server,
                                   tcp::socket socket)
    : server(std::move(server)),
      socket(std::move(socket)),
      last_activity(base::Now()) {}

void ServerConnection::Start() {
  this->has_send_state = SetUpSocket(this->socket);
  error_code ignored;
  this->socket.non_blocking(true, ignored);
  if (this->server->budget != nullptr) {
    const std::weak_ptr<ServerConnection> weak = this->weak_from_this();
    this->counted.emplace(this->server->budget, [weak] {
      if (const auto self = weak.lock()) {
        self->server->loop.Post([self] { self->OnDropped(); });
      }
    });
  }
  this->Receive();
}

void ServerConnection::CountBytes() {
  if (!this->counted.has_value()) {
    return;
  }
  const size_t reading =
      this->parser.has_value()
          ? this->parser->head_bytes() + this->parser->body.size()
          : 0;
  // A request that is being answered may have run: only a caller that doesn't
  // read its answer loses it.
  const bool droppable =
      this->phase != Phase::kAnswering || !this->output.empty();
  this->counted->Resize(
      this->input.size() + reading + this->request_bytes + this->output.size(),
      droppable);
}

void ServerConnection::OnDropped() {
  switch (this->phase) {
    case Phase::kReadingHead:
    case Phase::kReadingBody:
      this->Reject(503);
      return;
    case Phase::kAnswering:
      // The request was read to its end meanwhile and may run.
      if (this->output.empty()) {
        return;
      }
      break;
    case Phase::kIdle:
    case Phase::kLingering:
    case Phase::kClosed:
      break;
  }
  this->Close(DeliveryEnd::kMemory);
}

void ServerConnection::Close(DeliveryEnd end) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  const auto state = this->UpdateDelivery(base::Now());
  const bool complete = this->phase != Phase::kAnswering && !this->undelivered;
  const auto notify = std::exchange(this->on_undelivered, nullptr);
  this->phase = Phase::kClosed;
  this->counted.reset();
  error_code ignored;
  this->socket.close(ignored);
  this->server->open.erase(self);
  if (const auto current = this->exchange.lock()) {
    current->NotifyDisconnect();
  }
  if (!complete && notify != nullptr) {
    const size_t queued = state.has_value() ? state->queued_bytes : 0;
    notify({end, this->output.size() + queued});
  }
}

bool ServerConnection::IdleSince(base::Instant since) {
  if (this->phase != Phase::kIdle || this->last_activity > since) {
    return false;
  }
  this->UpdateDelivery(base::Now());
  return !this->undelivered;
}

std::optional<SendState> ServerConnection::UpdateDelivery(base::Instant now) {
  if (!this->undelivered) {
    return std::nullopt;
  }
  const auto state = this->has_send_state
                         ? ReadSendState(this->socket.native_handle())
                         : std::nullopt;
  if (state.has_value() &&
      std::exchange(this->acknowledged_bytes, state->acknowledged_bytes) !=
          state->acknowledged_bytes) {
    this->last_progress = now;
  }
  if (this->output.empty() &&
      (!state.has_value() || state->queued_bytes == 0)) {
    this->undelivered = false;
    if (this->phase != Phase::kAnswering) {
      this->on_undelivered = nullptr;
    }
  }
  return state;
}

base::Instant ServerConnection::GiveUpUnreadAt() const {
  if (!this->kept_until.has_value()) {
    return this->last_progress + this->server->limits.idle_timeout;
  }
  return std::max(*this->kept_until, this->last_progress + kMaxUnreadTime);
}

void ServerConnection::CheckDelivery(base::Instant now) {
  const auto state = this->UpdateDelivery(now);
  if (state.has_value() && this->ack_timer.IsOverdue(*state, now)) {
    this->Close(DeliveryEnd::kSilent);
    return;
  }
  if (!this->undelivered) {
    this->last_activity = std::max(this->last_activity, this->last_progress);
  } else if (now > this->GiveUpUnreadAt()) {
    this->Close(DeliveryEnd::kUnread);
  }
}

void ServerConnection::CheckTimeouts(base::Instant now) {
  if (this->undelivered) {
    this->CheckDelivery(now);
  }
  const base::Duration idle_time = now - this->last_activity;
  switch (this->phase) {
    case Phase::kIdle:
      if (idle_time > this->server->limits.idle_timeout && !this->undelivered) {
        this->Close(DeliveryEnd::kUnread);
      }
      return;
    case Phase::kReadingHead:
      if (now - this->first_byte_at > this->server->limits.header_timeout) {
        this->Reject(408);
      }
      return;
    case Phase::kReadingBody:
      if (idle_time > this->server->limits.idle_timeout) {
        this->Reject(408);
      }
      return;
    case Phase::kLingering:
      if (idle_time > kMaxLingerSilence && !this->undelivered) {
        this->Close(DeliveryEnd::kUnread);
      }
      return;
    case Phase::kAnswering:
    case Phase::kClosed:
      return;
  }
}

void ServerConnection::Receive() {
  if (this->receiving || this->phase == Phase::kClosed) {
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

void ServerConnection::OnReceived(const error_code& error, size_t size) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (error) {
    this->Close(EndOf(error));
    return;
  }
  if (this->phase == Phase::kLingering) {
    this->discarded_bytes += size;
    if (this->discarded_bytes > kMaxDiscardedBytes) {
      this->Close(DeliveryEnd::kAborted);
      return;
    }
    this->Receive();
    return;
  }
  this->last_activity = base::Now();
  this->input.append(this->buffer.data(), size);
  if (this->phase != Phase::kAnswering) {
    this->ProcessInput();
  }
  this->CountBytes();
  if (this->phase != Phase::kAnswering ||
      this->input.size() < kMaxPipelinedBytes) {
    this->Receive();
  }
}

void ServerConnection::ProcessInput() {
  if (this->phase == Phase::kIdle && !this->input.empty()) {
    this->phase = Phase::kReadingHead;
    this->first_byte_at = this->last_activity;
    this->continue_sent = false;
    this->parser.emplace();
    const HttpServer::Limits& limits = this->server->limits;
    this->parser->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    this->parser->body_limit(static_cast<uint64_t>(limits.max_body_bytes));
  }
  if (!this->parser.has_value()) {
    return;
  }
  const auto error = this->parser->Read(
      this->input, static_cast<size_t>(this->server->limits.max_header_bytes));
  if (error) {
    this->Reject(StatusOf(error));
    return;
  }
  if (this->phase == Phase::kReadingHead && this->parser->is_header_done()) {
    this->OnHead();
  }
  if (this->phase == Phase::kReadingBody && this->parser->is_done()) {
    this->OnRequest();
  }
}

void ServerConnection::OnHead() {
  if (HasAmbiguousFraming(*this->parser) ||
      this->parser->http_version != kHttp11) {
    this->Reject(400);
    return;
  }
  this->phase = Phase::kReadingBody;
  const std::string* expected = FindField(this->parser->fields, "Expect");
  if (expected != nullptr && !this->parser->is_done() && !this->continue_sent) {
    this->continue_sent = true;
    this->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::OnRequest() {
  this->phase = Phase::kAnswering;
  this->kept_until.reset();
  this->on_undelivered = nullptr;
  this->keep_alive = this->parser->keep_alive();
  this->request_bytes = this->parser->head_bytes() + this->parser->body.size();
  Request request{
      std::move(this->parser->method), std::move(this->parser->target),
      std::move(this->parser->fields), std::move(this->parser->body)};
  this->parser.reset();
  const auto current = std::make_shared<Exchange>(
      this->shared_from_this(), std::move(request), this->first_byte_at);
  this->exchange = current;
  this->server->handler(current);
}

void ServerConnection::Reject(int status) {
  this->closing = true;
  this->parser.reset();
  std::string().swap(this->input);
  this->phase = Phase::kAnswering;
  HeaderFields fields;
  if (status == 503) {
    fields.push_back({"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  this->Write(PrintResponseHead(
      {status, fields}, {{"Content-Length", "0"}, {"Connection", "close"}}));
  this->EndAnswer();
}

void ServerConnection::Write(std::string_view data) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (!std::exchange(this->undelivered, true)) {
    this->last_progress = base::Now();
  }
  this->output.append(data);
  if (!this->writing) {
    this->Flush();
  }
}

void ServerConnection::Flush() {
  error_code error;
  const size_t sent =
      this->socket.write_some(asio::buffer(this->output), error);
  EraseFront(this->output, sent);
  if (sent > 0) {
    this->last_progress = base::Now();
  }
  if (error && error != asio::error::would_block) {
    this->Close(EndOf(error));
    return;
  }
  this->CountBytes();
  if (!this->output.empty()) {
    this->writing = true;
    this->socket.async_wait(
        tcp::socket::wait_write,
        [self = this->shared_from_this()](const error_code& waited) {
          self->OnWritable(waited);
        });
    return;
  }
  if (this->linger_when_written) {
    this->Linger();
  }
}

void ServerConnection::OnWritable(const error_code& error) {
  this->writing = false;
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (error) {
    this->Close(EndOf(error));
    return;
  }
  this->Flush();
}

void ServerConnection::EndAnswer() {
  if (this->phase != Phase::kAnswering) {
    return;
  }
  this->exchange.reset();
  this->request_bytes = 0;
  this->last_activity = base::Now();
  if (this->closing) {
    this->linger_when_written = true;
    if (this->output.empty()) {
      this->Linger();
    }
    return;
  }
  this->phase = Phase::kIdle;
  // Posted, as the caller of EndAnswer still uses its exchange.
  this->server->loop.Post([self = this->shared_from_this()] {
    if (self->phase == Phase::kIdle && !self->input.empty()) {
      self->ProcessInput();
    }
    self->CountBytes();
    self->Receive();
  });
}

void ServerConnection::Linger() {
  this->phase = Phase::kLingering;
  this->last_activity = base::Now();
  error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->Receive();
}

}  // namespace carawayvalve::net::detail
