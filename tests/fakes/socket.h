#ifndef CARAWAYVALVE_TESTS_FAKES_SOCKET_H_
#define CARAWAYVALVE_TESTS_FAKES_SOCKET_H_

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace carawayvalve::fakes {

// Parses IP:PORT. Throws base::Error when the text is malformed.
sockaddr_in ParseAddress(const std::string& text);

// An owned TCP socket, closed on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : number(descriptor) {}
  Socket(Socket&& other) noexcept : number(std::exchange(other.number, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  // Binds to 127.0.0.1. Several sockets may be bound to one port while none of
  // them listens. Throws base::Error when the port is in use.
  static Socket Bind(uint16_t port);
  // Returns nothing when the peer does not accept the connection.
  static std::optional<Socket> Connect(const sockaddr_in& address);

  void Listen() const;
  // Waits briefly for a connection; returns nothing when none arrives.
  std::optional<Socket> Accept() const;
  // Blocks until bytes arrive. Returns 0 at the end of the stream and after
  // Shutdown.
  size_t Receive(char* bytes, size_t max_bytes) const;
  // Returns false when the connection is closed.
  bool SendAll(const char* bytes, size_t count) const;
  // Shuts down both directions and wakes threads blocked on the socket.
  void Shutdown() const;
  void ShutdownSending() const;

  uint16_t port() const;

 private:
  int number = -1;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_SOCKET_H_
