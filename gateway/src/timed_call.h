#ifndef CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_
#define CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_

#include <functional>
#include <memory>
#include <string>

#include "carawayvalve/net/http_client.h"

namespace carawayvalve::gateway {

// An HTTP call that collects the complete answer within a timeout. Destroying
// it cancels the call.
class TimedCall : public std::enable_shared_from_this<TimedCall> {
 public:
  struct Result {
    // 0 if there was no complete answer.
    int status = 0;
    net::HeaderFields fields;
    std::string body;
  };
  using Handler = std::function<void(const Result&)>;

  // Calls `done` once, after Start has returned.
  static std::shared_ptr<TimedCall> Start(net::EventLoop& loop,
                                          net::HttpClient& client,
                                          const base::Address& address,
                                          const net::Request& request,
                                          base::Duration timeout,
                                          Handler done);

  explicit TimedCall(net::EventLoop& loop) : timer(loop) {}

 private:
  void OnEvent(const net::CallEvent& event);
  void Finish();

  net::Timer timer;
  std::unique_ptr<net::Call> call;
  Result result;
  Handler done;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_
