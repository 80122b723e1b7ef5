#ifndef CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_
#define CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace carawayvalve::systems {

// The answer to an operator's request.
struct OperatorAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

// HTTP server for operators and the platform's probes: health, metrics and
// state dump. Serves only GET. Its address must not be exposed to callers.
class OperatorServer {
 public:
  using Handler = std::function<OperatorAnswer()>;

  // Starts listening on `address`. `pages` maps paths to handlers, which run on
  // the server's own thread. Throws base::ListenError when it can't
  // listen.
  OperatorServer(const std::string& address,
                 std::map<std::string, Handler> pages);
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_
