#ifndef CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_
#define CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace carawayvalve::systems {

// What an operator's request is answered with.
struct OperatorAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Serves GET requests of operators and of the platform's probes: health,
// metrics, state dump. Its address is not for callers.
class OperatorServer {
 public:
  using Handler = std::function<OperatorAnswer()>;

  // Listens from here on; `pages` maps paths to handlers, which are called on
  // the server's own thread. Throws base::Error when it can't listen.
  OperatorServer(const std::string& address,
                 std::map<std::string, Handler> pages);
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

 private:
  struct Parts;

  std::unique_ptr<Parts> parts;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_OPERATOR_SERVER_H_
