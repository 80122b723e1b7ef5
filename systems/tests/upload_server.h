#ifndef CARAWAYVALVE_SYSTEMS_TESTS_UPLOAD_SERVER_H_
#define CARAWAYVALVE_SYSTEMS_TESTS_UPLOAD_SERVER_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "answer_server.h"

namespace carawayvalve::systems {

// How a server ends the connection of a request that it hasn't read.
enum class UploadEnd {
  // Resets it.
  kReset,
  // Closes it with unread input, which resets it too.
  kCloseUnread,
  // Sends its end, and reads on to that of the client.
  kFinish,
  // Sends its end, and resets it some time later.
  kFinishThenReset,
};

// An answer that is sent while its request is still being written.
struct EarlyAnswer {
  std::string bytes;
  UploadEnd end = UploadEnd::kReset;
  // What is read of the request first.
  size_t read_before = 0;
  // Between the answer and the end.
  std::chrono::milliseconds pause{0};
};

// Answers each request early, one connection after the other.
class UploadServer {
 public:
  explicit UploadServer(EarlyAnswer answer)
      : answer(std::move(answer)), thread([this] { this->Run(); }) {}
  ~UploadServer() {
    shutdown(this->listener.fd, SHUT_RDWR);
    this->thread.join();
  }
  UploadServer(const UploadServer&) = delete;
  UploadServer& operator=(const UploadServer&) = delete;

  std::string Address() const { return this->listener.Address(); }

 private:
  static constexpr std::chrono::milliseconds kResetDelay{20};

  void Run() {
    for (int fd = 0; (fd = accept(this->listener.fd, nullptr, nullptr)) >= 0;) {
      this->Serve(fd);
      close(fd);
    }
  }

  void Serve(int fd) const {
    // At least a part of the head, without which no request has begun.
    size_t received = 0;
    while (received == 0 || received < this->answer.read_before) {
      const size_t count = Read(fd, 16384);
      if (count == 0) {
        return;
      }
      received += count;
    }
    send(fd, this->answer.bytes.data(), this->answer.bytes.size(),
         MSG_NOSIGNAL);
    std::this_thread::sleep_for(this->answer.pause);
    switch (this->answer.end) {
      case UploadEnd::kReset:
        Reset(fd);
        return;
      case UploadEnd::kCloseUnread:
        // There is unread input as soon as more has arrived.
        WaitForInput(fd);
        return;
      case UploadEnd::kFinish:
        shutdown(fd, SHUT_WR);
        while (Read(fd, 16384) > 0) {
        }
        return;
      case UploadEnd::kFinishThenReset:
        shutdown(fd, SHUT_WR);
        std::this_thread::sleep_for(kResetDelay);
        Reset(fd);
        return;
    }
  }

  static void WaitForInput(int fd) {
    pollfd state{fd, POLLIN, 0};
    poll(&state, 1, 1000);
  }
  static size_t Read(int fd, size_t size) {
    std::array<char, 16384> bytes;
    const ssize_t count =
        recv(fd, bytes.data(), std::min(size, bytes.size()), 0);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }
  static void Reset(int fd) {
    const linger discard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  }

  EarlyAnswer answer;
  Listener listener;
  std::thread thread;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_TESTS_UPLOAD_SERVER_H_
