#include "carawayvalve/net/http_server.h"

#include <array>
#include <charconv>
#include <utility>

#include "server_connection.h"

namespace carawayvalve::net {

namespace {

// A body up to this size is written together with its head, which saves a
// packet; a larger one isn't copied for that.
constexpr size_t kMaxJoinedBytes = size_t{64} * 1024;

bool MayHaveBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

std::string PrintChunk(std::string_view data) {
  std::array<char, 16> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  std::string chunk(size.data(), end.ptr);
  chunk += "\r\n";
  chunk += data;
  chunk += "\r\n";
  return chunk;
}

}  // namespace

const char* NameOf(DeliveryEnd end) {
  switch (end) {
    case DeliveryEnd::kGone:
      return "gone";
    case DeliveryEnd::kSilent:
      return "silent";
    case DeliveryEnd::kUnread:
      return "unread";
    case DeliveryEnd::kMemory:
      return "memory";
    case DeliveryEnd::kAborted:
      return "aborted";
    case DeliveryEnd::kStop:
      return "stop";
  }
  return "";
}

Exchange::Exchange(std::shared_ptr<detail::ServerConnection> connection,
                   Request request,
                   base::Instant first_byte_at)
    : connection(std::move(connection)),
      message(std::move(request)),
      arrived_at(first_byte_at),
      completed_at(base::Now()) {}

Exchange::~Exchange() {
  if (!this->ended) {
    this->on_disconnect = nullptr;
    this->Abort();
  }
}

void Exchange::Respond(const Response& response) {
  if (this->ended) {
    return;
  }
  if (this->started) {
    this->Abort();
    return;
  }
  HeaderFields framing;
  const bool may_have_body = MayHaveBody(response.head.status);
  if (may_have_body) {
    framing.push_back({"Content-Length", std::to_string(response.body.size())});
  }
  if (this->connection->DecideClose()) {
    framing.push_back({"Connection", "close"});
  }
  std::string text = PrintResponseHead(response.head, framing);
  const std::string_view body = may_have_body && !this->WantsHeadAlone()
                                    ? response.body
                                    : std::string_view();
  this->started = true;
  this->ended = true;
  if (body.size() <= kMaxJoinedBytes) {
    this->connection->Write(text.append(body));
  } else {
    this->connection->Write(text);
    this->connection->Write(body);
  }
  this->connection->EndAnswer();
}

void Exchange::Begin(const ResponseHead& head, BodyFraming body_framing) {
  this->framing = body_framing;
  HeaderFields fields;
  if (this->framing == BodyFraming::kChunked) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  } else {
    this->connection->CloseAfterAnswer();
  }
  if (this->connection->DecideClose()) {
    fields.push_back({"Connection", "close"});
  }
  this->started = true;
  this->connection->Write(PrintResponseHead(head, fields));
}

void Exchange::Send(std::string_view data) {
  if (data.empty() || this->ended || this->WantsHeadAlone()) {
    return;
  }
  if (this->framing == BodyFraming::kChunked) {
    this->connection->Write(PrintChunk(data));
  } else {
    this->connection->Write(data);
  }
}

void Exchange::Finish() {
  if (this->ended) {
    return;
  }
  this->ended = true;
  if (this->framing == BodyFraming::kChunked && !this->WantsHeadAlone()) {
    this->connection->Write("0\r\n\r\n");
  }
  this->connection->EndAnswer();
}

void Exchange::Abort() {
  this->ended = true;
  this->connection->Close(DeliveryEnd::kAborted);
}

void Exchange::OnDisconnect(std::function<void()> handler) {
  this->on_disconnect = std::move(handler);
}

void Exchange::OnUndelivered(
    std::function<void(const UndeliveredAnswer&)> handler) {
  this->connection->OnUndelivered(std::move(handler));
}

void Exchange::KeepUntil(base::Instant deadline) {
  this->connection->KeepUntil(deadline);
}

size_t Exchange::unsent_bytes() const {
  return this->connection->unsent_bytes();
}

void Exchange::NotifyDisconnect() {
  this->caller_disconnected = true;
  if (this->ended) {
    return;
  }
  this->ended = true;
  if (const auto handler = std::exchange(this->on_disconnect, nullptr)) {
    handler();
  }
}

HttpServer::HttpServer(EventLoop& loop,
                       const base::Address& address,
                       Handler handler)
    : server(std::make_shared<detail::ServerState>(loop,
                                                   address,
                                                   std::move(handler))) {
  this->server->Start();
}

HttpServer::~HttpServer() {
  this->server->Close();
}

void HttpServer::SetLimits(const Limits& limits) {
  this->server->limits = limits;
}

void HttpServer::SetBudget(std::shared_ptr<base::ByteBudget> budget) {
  this->server->budget = std::move(budget);
}

void HttpServer::CloseAfterAnswers() {
  this->server->close_after_answers = true;
}

void HttpServer::CloseIdle(base::Duration silence) {
  this->server->CloseIdle(silence);
}

size_t HttpServer::connections() const {
  return this->server->connections();
}

uint16_t HttpServer::port() const {
  return this->server->port();
}

}  // namespace carawayvalve::net
