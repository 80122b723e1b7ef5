#ifndef CARAWAYVALVE_SYSTEMS_TESTS_ANSWER_SERVER_H_
#define CARAWAYVALVE_SYSTEMS_TESTS_ANSWER_SERVER_H_

#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <functional>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace carawayvalve::systems {

// A server's reaction to one request.
struct Reply {
  std::string bytes;
  // Keeps the connection open after the reply.
  bool keep_open = false;
  // Refuses further connections after this request.
  bool stop_listening = false;
  // Resets the connection instead of closing it in order.
  bool reset = false;
  // Sends pieces of this size, with the pause between them; all at once if 0.
  size_t piece = 0;
  std::chrono::milliseconds pause{100};
};

inline Reply JsonReply(int status, const std::string& body) {
  return {"HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          true};
}

// Reads the request and closes the connection without an answer.
inline Reply NoReply() {
  return {};
}

// With this backlog a socket keeps its port but refuses connections.
constexpr int kNotListening = -1;

// A socket on a port that the system chooses.
class Listener {
 public:
  explicit Listener(int backlog = 16) {
    this->name.sin_family = AF_INET;
    this->name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(this->name);
    auto* address = reinterpret_cast<sockaddr*>(&this->name);
    if (bind(this->fd, address, size) != 0 ||
        (backlog != kNotListening && listen(this->fd, backlog) != 0) ||
        getsockname(this->fd, address, &size) != 0) {
      throw std::runtime_error("no port to listen on");
    }
  }
  ~Listener() { this->Close(); }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Close() { close(std::exchange(this->fd, -1)); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(ntohs(this->name.sin_port));
  }

  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name = {};
};

// Answers requests with fixed replies in order, or as a function says. Once the
// replies are used up it closes every connection that sends a request.
class AnswerServer {
 public:
  // Returns the reply to a request; connections are numbered from 1. Called
  // from the server's thread.
  using Responder =
      std::function<Reply(int connection, const std::string& request)>;

  explicit AnswerServer(std::vector<Reply> replies)
      : replies(std::move(replies)), thread([this] { this->Run(); }) {}
  template <std::invocable<int, const std::string&> Function>
  explicit AnswerServer(Function responder)
      : responder(std::move(responder)), thread([this] { this->Run(); }) {}

  ~AnswerServer() {
    eventfd_write(this->stop, 1);
    this->thread.join();
    close(this->stop);
  }

  AnswerServer(const AnswerServer&) = delete;
  AnswerServer& operator=(const AnswerServer&) = delete;

  std::string Address() const { return this->listener.Address(); }

  // Returns the complete requests received so far.
  std::vector<std::string> Requests() {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

 private:
  struct Connection {
    int number = 0;
    // What has arrived of its current request.
    std::string request;
  };

  void Run() {
    std::vector<pollfd> polled;
    do {
      for (size_t i = 2; i < polled.size(); ++i) {
        if (polled[i].revents != 0 && !this->Serve(polled[i].fd)) {
          close(polled[i].fd);
          this->received.erase(polled[i].fd);
        }
      }
      if (polled.size() > 1 && this->listener.fd >= 0 &&
          polled[1].revents != 0) {
        const int fd = accept(this->listener.fd, nullptr, nullptr);
        this->received[fd] = {++this->last_connection, ""};
      }
      polled = {{this->stop, POLLIN, 0}, {this->listener.fd, POLLIN, 0}};
      for (const auto& [fd, connection] : this->received) {
        polled.push_back({fd, POLLIN, 0});
      }
    } while (poll(polled.data(), polled.size(), -1) > 0 &&
             polled[0].revents == 0);
    for (const auto& [fd, connection] : this->received) {
      close(fd);
    }
  }

  // Returns whether the connection stays open.
  bool Serve(int fd) {
    std::array<char, 65536> bytes;
    const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    Connection& connection = this->received[fd];
    connection.request.append(bytes.data(), static_cast<size_t>(count));
    if (!IsComplete(connection.request)) {
      return true;
    }
    const Reply reply = this->NextReply(connection.number,
                                        std::exchange(connection.request, ""));
    if (reply.stop_listening) {
      this->listener.Close();
    }
    Send(fd, reply);
    if (reply.reset) {
      const linger discard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    return reply.keep_open;
  }

  static void Send(int fd, const Reply& reply) {
    const size_t piece = reply.piece == 0 ? reply.bytes.size() : reply.piece;
    for (size_t sent = 0; sent < reply.bytes.size(); sent += piece) {
      if (sent > 0) {
        std::this_thread::sleep_for(reply.pause);
      }
      send(fd, reply.bytes.data() + sent,
           std::min(piece, reply.bytes.size() - sent), MSG_NOSIGNAL);
    }
  }

  static bool IsComplete(const std::string& request) {
    const std::string field = "Content-Length: ";
    const size_t head_end = request.find("\r\n\r\n");
    const size_t length = request.find(field);
    if (head_end == std::string::npos || length > head_end) {
      return head_end != std::string::npos;
    }
    const size_t body = std::stoul(request.substr(length + field.size()));
    return request.size() >= head_end + 4 + body;
  }

  Reply NextReply(int connection, std::string request) {
    const std::lock_guard lock(this->mutex);
    const size_t index = this->requests.size();
    this->requests.push_back(std::move(request));
    if (this->responder) {
      return this->responder(connection, this->requests.back());
    }
    return index < this->replies.size() ? this->replies[index] : NoReply();
  }

  std::vector<Reply> replies;
  Responder responder;
  Listener listener;
  int stop = eventfd(0, EFD_CLOEXEC);
  std::mutex mutex;
  std::vector<std::string> requests;
  int last_connection = 0;
  // The open connections, by their descriptors.
  std::map<int, Connection> received;
  std::thread thread;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_TESTS_ANSWER_SERVER_H_
