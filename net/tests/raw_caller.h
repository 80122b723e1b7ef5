#ifndef CARAWAYVALVE_NET_TESTS_RAW_CALLER_H_
#define CARAWAYVALVE_NET_TESTS_RAW_CALLER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace carawayvalve::net {

// A client connection that sends arbitrary bytes.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(this->fd, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      throw std::runtime_error("can't connect");
    }
  }
  ~RawCaller() { close(this->fd); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& bytes) const {
    send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Reads until `text` has arrived, the connection has ended or the read has
  // timed out.
  std::string ReadUntil(const std::string& text) {
    std::string read;
    while (read.find(text) == std::string::npos && this->Receive(read)) {
    }
    return read;
  }

  // Reads until the connection has ended or the read has timed out.
  std::string ReadAll() {
    std::string read;
    while (this->Receive(read)) {
    }
    return read;
  }

  bool ended() const { return this->at_end; }

 private:
  static constexpr int kReadTimeoutMs = 10000;

  bool Receive(std::string& read) {
    pollfd state{this->fd, POLLIN, 0};
    if (poll(&state, 1, kReadTimeoutMs) != 1) {
      return false;
    }
    std::array<char, 4096> bytes;
    const ssize_t count = recv(this->fd, bytes.data(), bytes.size(), 0);
    this->at_end = count <= 0;
    if (count > 0) {
      read.append(bytes.data(), static_cast<size_t>(count));
    }
    return count > 0;
  }

  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool at_end = false;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_TESTS_RAW_CALLER_H_
