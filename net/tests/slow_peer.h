#ifndef CARAWAYVALVE_NET_TESTS_SLOW_PEER_H_
#define CARAWAYVALVE_NET_TESTS_SLOW_PEER_H_

#include <arpa/inet.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace carawayvalve::net {

// A blocking TCP connection of a peer that reads as slowly as its test says.
class SlowPeer {
 public:
  // The smallest receive buffer that Linux grants: a window of some 2 KB.
  static constexpr int kSmallBuffer = 2048;

  explicit SlowPeer(int descriptor) : descriptor(descriptor) {}
  ~SlowPeer() { this->Close(); }
  SlowPeer(SlowPeer&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)),
        input(std::move(other.input)) {}
  SlowPeer(const SlowPeer&) = delete;
  SlowPeer& operator=(const SlowPeer&) = delete;

  // Connects to a loopback port with a small receive window.
  static SlowPeer Connect(uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
               sizeof(kSmallBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(descriptor);
      throw std::runtime_error("can't connect");
    }
    return SlowPeer(descriptor);
  }

  void Send(const std::string& bytes) const {
    send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Reads up to `size` bytes. Returns false at the end of the connection, or
  // after ten seconds without any.
  bool Read(size_t size) {
    pollfd state{this->descriptor, POLLIN, 0};
    if (poll(&state, 1, 10000) != 1) {
      return false;
    }
    std::string part(size, '\0');
    const ssize_t count = recv(this->descriptor, part.data(), part.size(), 0);
    if (count <= 0) {
      return false;
    }
    this->input.append(part, 0, static_cast<size_t>(count));
    return true;
  }

  // Reads until `text` has arrived or the connection has ended.
  bool ReadUntil(const std::string& text) {
    while (this->input.find(text) == std::string::npos) {
      if (!this->Read(1024)) {
        return false;
      }
    }
    return true;
  }

  // Reads until `size` bytes have arrived or the connection has ended.
  bool ReadTotal(size_t size) {
    while (this->input.size() < size) {
      if (!this->Read(std::min<size_t>(size - this->input.size(), 65536))) {
        return false;
      }
    }
    return true;
  }

  // Drops all that arrives from now on, so that this host acknowledges nothing
  // any more, like one without power.
  void FallSilent() const {
    sock_filter drop[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    const sock_fprog program{1, drop};
    if (setsockopt(this->descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof(program)) != 0) {
      throw std::runtime_error("can't attach a socket filter");
    }
  }

  void Close() {
    if (this->descriptor >= 0) {
      close(std::exchange(this->descriptor, -1));
    }
  }

  const std::string& received() const { return this->input; }

 private:
  int descriptor;
  std::string input;
};

// A listening socket on a loopback port, with a small receive window.
class SlowListener {
 public:
  SlowListener() {
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &SlowPeer::kSmallBuffer,
               sizeof(SlowPeer::kSmallBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const name = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->descriptor, name, size) != 0 ||
        listen(this->descriptor, 16) != 0 ||
        getsockname(this->descriptor, name, &size) != 0) {
      throw std::runtime_error("can't listen");
    }
    this->listening_port = ntohs(address.sin_port);
  }
  ~SlowListener() { close(this->descriptor); }
  SlowListener(const SlowListener&) = delete;
  SlowListener& operator=(const SlowListener&) = delete;

  uint16_t port() const { return this->listening_port; }
  SlowPeer Accept() const {
    return SlowPeer(accept(this->descriptor, nullptr, nullptr));
  }

 private:
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  uint16_t listening_port = 0;
};

// Runs each function in a thread of its own and waits for all.
inline void RunTogether(const std::vector<std::function<void()>>& actions) {
  std::vector<std::thread> threads;
  threads.reserve(actions.size());
  for (const auto& action : actions) {
    threads.emplace_back(action);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_TESTS_SLOW_PEER_H_
