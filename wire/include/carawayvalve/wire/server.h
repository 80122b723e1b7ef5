#ifndef CARAWAYVALVE_WIRE_SERVER_H_
#define CARAWAYVALVE_WIRE_SERVER_H_

#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

namespace carawayvalve::wire {

// Serves one Thrift processor on its own threads, one a connection, for up to
// kMaxConnections of them.
class Server {
 public:
  // Listens from here on. `address` is host and port; `part` is named in
  // errors. Throws base::Error when it can't listen.
  Server(const std::string& purpose,
         const std::string& address,
         const std::shared_ptr<apache::thrift::TProcessor>& processor);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_SERVER_H_
