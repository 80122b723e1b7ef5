#ifndef CARAWAYVALVE_WIRE_SERVER_H_
#define CARAWAYVALVE_WIRE_SERVER_H_

#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

namespace carawayvalve::wire {

// Serves a Thrift processor with one thread per connection, for up to
// kMaxConnections connections.
class Server {
 public:
  // Starts listening on `address`, a host and a port. `purpose` appears in
  // errors. Throws base::ListenError when it can't listen.
  Server(const std::string& purpose,
         const std::string& address,
         const std::shared_ptr<apache::thrift::TProcessor>& processor);
  // Stops listening, closes all connections and waits for their threads.
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_SERVER_H_
