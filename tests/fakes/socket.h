#ifndef CARAWAYVALVE_TESTS_FAKES_SOCKET_H_
#define CARAWAYVALVE_TESTS_FAKES_SOCKET_H_

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace carawayvalve::fakes {

// Reads IP:PORT. Throws base::Error when the text isn't that.
sockaddr_in ParseAddress(const std::string& text);

// A TCP socket that closes when it goes.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : number(descriptor) {}
  Socket(Socket&& other) noexcept : number(std::exchange(other.number, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  // Binds to 127.0.0.1; several sockets may be bound to one port as long as
  // none listens. Throws base::Error when the port is taken.
  static Socket Bind(uint16_t port);
  // Returns nothing when the peer doesn't take the connection.
  static std::optional<Socket> Connect(const sockaddr_in& address);

  void Listen() const;
  // Waits a moment for a connection.
  std::optional<Socket> Accept() const;
  // Blocks; returns 0 at the end and after Shutdown.
  size_t Receive(char* bytes, size_t max_bytes) const;
  // Returns false when the peer has gone.
  bool SendAll(const char* bytes, size_t count) const;
  // Ends both directions and wakes whoever waits on them.
  void Shutdown() const;
  void ShutdownSending() const;

  uint16_t port() const;

 private:
  int number = -1;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_SOCKET_H_
