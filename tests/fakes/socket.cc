#include "socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "carawayvalve/base/error.h"

namespace carawayvalve::fakes {

namespace {

constexpr int kAcceptWaitMs = 20;

Socket Open(int& number) {
  number = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (number < 0) {
    throw base::Error("open socket", "", std::strerror(errno));
  }
  return Socket(number);
}

void SetFlag(int number, int level, int option) {
  const int on = 1;
  setsockopt(number, level, option, &on, sizeof(on));
}

}  // namespace

sockaddr_in ParseAddress(const std::string& text) {
  const size_t colon = std::min(text.rfind(':'), text.size());
  const std::string host = text.substr(0, colon);
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result =
      std::from_chars(std::min(text.data() + colon + 1, end), end, port);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 ||
      result.ec != std::errc() || result.ptr != end) {
    throw base::Error("read address", text, "it is not IP:PORT");
  }
  return address;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(this->number, other.number);
  return *this;
}

Socket::~Socket() {
  if (this->number >= 0) {
    close(this->number);
  }
}

Socket Socket::Bind(uint16_t port) {
  int number = -1;
  Socket socket = Open(number);
  SetFlag(number, SOL_SOCKET, SO_REUSEADDR);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(number, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw base::Error("bind", "127.0.0.1:" + std::to_string(port),
                      std::strerror(errno));
  }
  return socket;
}

std::optional<Socket> Socket::Connect(const sockaddr_in& address) {
  int number = -1;
  Socket socket = Open(number);
  if (connect(number, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return std::nullopt;
  }
  SetFlag(number, IPPROTO_TCP, TCP_NODELAY);
  return socket;
}

void Socket::Listen() const {
  if (listen(this->number, SOMAXCONN) != 0) {
    throw base::Error("listen", "127.0.0.1:" + std::to_string(this->port()),
                      std::strerror(errno));
  }
}

std::optional<Socket> Socket::Accept() const {
  pollfd state = {this->number, POLLIN, 0};
  if (poll(&state, 1, kAcceptWaitMs) <= 0) {
    return std::nullopt;
  }
  const int accepted = accept4(this->number, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) {
    return std::nullopt;
  }
  SetFlag(accepted, IPPROTO_TCP, TCP_NODELAY);
  return Socket(accepted);
}

size_t Socket::Receive(char* bytes, size_t max_bytes) const {
  const ssize_t count = recv(this->number, bytes, max_bytes, 0);
  return count > 0 ? static_cast<size_t>(count) : 0;
}

bool Socket::SendAll(const char* bytes, size_t count) const {
  while (count > 0) {
    const ssize_t sent = send(this->number, bytes, count, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes += sent;
    count -= static_cast<size_t>(sent);
  }
  return true;
}

void Socket::Shutdown() const {
  shutdown(this->number, SHUT_RDWR);
}

void Socket::ShutdownSending() const {
  shutdown(this->number, SHUT_WR);
}

uint16_t Socket::port() const {
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  getsockname(this->number, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace carawayvalve::fakes
