#include "carawayvalve/net/http_client.h"

#include <utility>

#include "client_connection.h"

namespace carawayvalve::net {

Call::Call(std::weak_ptr<detail::ClientConnection> connection, int64_t number)
    : connection(std::move(connection)), number(number) {}

Call::~Call() {
  this->Cancel();
}

std::shared_ptr<detail::ClientConnection> Call::ActiveConnection() const {
  auto active = this->connection.lock();
  if (active != nullptr && active->call_number() == this->number) {
    return active;
  }
  return nullptr;
}

void Call::Cancel() {
  if (const auto active = this->ActiveConnection()) {
    active->Cancel();
  }
  this->connection.reset();
}

void Call::Pause() {
  if (const auto active = this->ActiveConnection()) {
    active->SetPaused(true);
  }
}

void Call::Resume() {
  if (const auto active = this->ActiveConnection()) {
    active->SetPaused(false);
  }
}

size_t Call::received_bytes() const {
  const auto active = this->ActiveConnection();
  return active == nullptr ? 0 : active->received_bytes();
}

HttpClient::HttpClient(EventLoop& loop, base::Duration default_keep_alive)
    : client(std::make_shared<detail::ClientState>(loop, default_keep_alive)) {}

HttpClient::~HttpClient() {
  this->client->CloseAll();
}

void HttpClient::SetBudget(std::shared_ptr<base::ByteBudget> budget) {
  this->client->budget = std::move(budget);
}

std::unique_ptr<Call> HttpClient::Start(const base::Address& address,
                                        const Request& request,
                                        const CallOptions& options,
                                        Handler handler) {
  const auto endpoint = detail::ToEndpoint<detail::Endpoint>(address);
  std::shared_ptr<detail::ClientConnection> connection;
  if (!options.fresh_connection) {
    connection = this->client->TakeIdle(endpoint, options.echo);
  }
  if (connection == nullptr) {
    connection =
        std::make_shared<detail::ClientConnection>(this->client, endpoint);
    this->client->open.insert(connection);
  }
  connection->Begin(request, options, std::move(handler));
  return std::make_unique<Call>(connection, connection->call_number());
}

void HttpClient::Connect(const base::Address& address,
                         base::Duration timeout,
                         ConnectHandler handler) {
  const auto connection = std::make_shared<detail::ClientConnection>(
      this->client, detail::ToEndpoint<detail::Endpoint>(address));
  this->client->open.insert(connection);
  connection->Open(timeout, std::move(handler));
}

void HttpClient::CloseAll() {
  this->client->CloseAll();
}

int64_t HttpClient::connections_opened() const {
  return this->client->connections_opened;
}

int64_t HttpClient::idle_connections() const {
  return this->client->idle_connections();
}

}  // namespace carawayvalve::net
