#ifndef CARAWAYVALVE_WIRE_TESTS_RAW_PEER_H_
#define CARAWAYVALVE_WIRE_TESTS_RAW_PEER_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::wire {

// Prefixes a message with its size, as the framed transport does.
inline std::string Frame(const std::string& message) {
  const uint32_t size = htonl(static_cast<uint32_t>(message.size()));
  std::string frame(sizeof(size), '\0');
  std::memcpy(frame.data(), &size, sizeof(size));
  return frame + message;
}

// Encodes the answer to a call, by default of a void method. `sequence` is that
// of the call.
inline std::string EncodeAnswer(const std::string& method,
                                const std::string& sequence,
                                const std::string& fields = std::string(1,
                                                                        '\0')) {
  const std::string version_and_reply("\x80\x01\x00\x02", 4);
  return Frame(version_and_reply + Frame(method) + sequence + fields);
}

// One end of a TCP connection, without Thrift.
class RawConnection {
 public:
  explicit RawConnection(int fd) : fd(fd) {}

  explicit RawConnection(const std::string& address)
      : fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in to = base::ToSocketAddress(base::ParseAddress(address));
    if (::connect(this->fd, reinterpret_cast<const sockaddr*>(&to),
                  sizeof(to)) != 0) {
      throw base::Error("connect", address, std::strerror(errno));
    }
  }

  ~RawConnection() { ::close(this->fd); }

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns false when the connection is closed.
  bool ReadFrame() {
    uint32_t size = 0;
    if (!this->ReadAll(&size, sizeof(size))) {
      return false;
    }
    this->message.assign(ntohl(size), '\0');
    return this->ReadAll(this->message.data(), this->message.size());
  }

  // Encodes the answer of a void method to the call that was read last.
  std::string VoidAnswer(const std::string& method) const {
    return EncodeAnswer(method, this->Sequence(method));
  }

  // Returns the sequence number of that call, as it was encoded.
  std::string Sequence(const std::string& method) const {
    constexpr size_t kVersionAndSize = 8;
    return this->message.substr(kVersionAndSize + method.size(), 4);
  }

  void Send(const std::string& bytes) {
    ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Sends one byte per interval; stops early when the other end closes the
  // connection or sends something.
  void Trickle(const std::string& bytes, base::Milliseconds interval) {
    for (const char byte : bytes) {
      this->Send(std::string(1, byte));
      pollfd ended{this->fd, POLLIN, 0};
      if (::poll(&ended, 1, static_cast<int>(interval.count())) != 0) {
        return;
      }
    }
  }

  // Ends the sending direction and waits until the peer has acknowledged it.
  void SendEnd() {
    ::shutdown(this->fd, SHUT_WR);
    this->WaitUntilDelivered();
  }

  void WaitUntilDelivered() {
    tcp_info info{};
    do {
      std::this_thread::yield();
      socklen_t size = sizeof(info);
      ::getsockopt(this->fd, IPPROTO_TCP, TCP_INFO, &info, &size);
    } while (info.tcpi_unacked > 0);
  }

  // Returns once the other end closes the connection.
  void WaitForEnd() {
    std::array<char, 4096> ignored;
    while (::recv(this->fd, ignored.data(), ignored.size(), 0) > 0) {
    }
  }

  void Shut() { ::shutdown(this->fd, SHUT_RDWR); }

 private:
  bool ReadAll(void* into, size_t count) {
    return ::recv(this->fd, into, count, MSG_WAITALL) ==
           static_cast<ssize_t>(count);
  }

  int fd;
  std::string message;
};

// A TCP server that runs the script for each connection, one at a time.
class RawPeer {
 public:
  // Called with the connection and its number, from 1 on.
  using Script = std::function<void(RawConnection&, int)>;

  explicit RawPeer(Script script)
      : script(std::move(script)), fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in bound = base::ToSocketAddress({"127.0.0.1", 0});
    socklen_t size = sizeof(bound);
    ::bind(this->fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound));
    ::listen(this->fd, SOMAXCONN);
    ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&bound), &size);
    this->port = ntohs(bound.sin_port);
    this->thread = std::thread([this] { this->Run(); });
  }

  // Clients must have closed their connections, as a script may wait for that.
  ~RawPeer() {
    ::shutdown(this->fd, SHUT_RDWR);
    this->thread.join();
    ::close(this->fd);
  }

  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  int connections() const { return this->accepted; }

 private:
  void Run() {
    for (;;) {
      const int connected_fd = ::accept(this->fd, nullptr, nullptr);
      if (connected_fd < 0) {
        return;
      }
      this->accepted += 1;
      RawConnection connection(connected_fd);
      this->script(connection, this->accepted);
    }
  }

  Script script;
  int fd;
  uint16_t port = 0;
  std::atomic<int> accepted = 0;
  std::thread thread;
};

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_TESTS_RAW_PEER_H_
