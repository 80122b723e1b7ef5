#ifndef CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_
#define CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/core/transfer_progress.h"
#include "carawayvalve/net/http_client.h"
#include "context.h"

namespace carawayvalve::gateway {

// An HTTP call that collects the complete answer, within a timeout or as long
// as it arrives. Destroying it cancels the call.
class TimedCall : public std::enable_shared_from_this<TimedCall> {
 public:
  struct Result {
    // 0 if there was no complete answer.
    int status = 0;
    net::HeaderFields fields;
    std::string body;
    // Why there was no complete answer; empty if there was one.
    std::string failure;
    // What had arrived by then, and how long that took.
    size_t received_bytes = 0;
    base::Duration time{};
    // The connection, and the answers on it that weren't taken.
    int64_t connection = 0;
    std::vector<net::CallSkipped> skipped;
  };
  using Handler = std::function<void(const Result&)>;

  // Calls `done` once, after Start has returned. The answer is complete within
  // `timeout`, or the call fails. The request bears no id: answers to requests
  // with one aren't taken, and no connection carries two such calls.
  static std::shared_ptr<TimedCall> Start(net::EventLoop& loop,
                                          net::HttpClient& client,
                                          const base::Address& address,
                                          const net::Request& request,
                                          base::Duration timeout,
                                          Handler done);
  // Reads an answer of up to `max_bytes` that may take longer: it begins within
  // `period`, and each further one brings a part of it, see
  // core::TransferProgress. The connection may have carried others, so that
  // what the answer says must tell it from theirs.
  static std::shared_ptr<TimedCall> StartTransfer(net::EventLoop& loop,
                                                  net::HttpClient& client,
                                                  const base::Address& address,
                                                  const net::Request& request,
                                                  base::Duration period,
                                                  size_t max_bytes,
                                                  Handler done);

  TimedCall(net::EventLoop& loop, Handler done)
      : timer(loop), started_at(base::Now()), done(std::move(done)) {}

 private:
  void Send(net::HttpClient& client,
            const base::Address& address,
            const net::Request& request,
            const net::CallOptions& options);
  // Sets the timeout of the whole answer, or of the next part of a transfer.
  void StartTimer(base::Duration timeout);
  void OnTimeout();
  void OnEvent(const net::CallEvent& event);
  void Fail(const std::string& reason, size_t received_bytes);
  void Finish();

  net::Timer timer;
  base::Instant started_at;
  // Only of a transfer.
  std::optional<base::Duration> period;
  core::TransferProgress progress;
  std::unique_ptr<net::Call> call;
  Result result;
  Handler done;
};

// Records the answers that weren't taken for that to a call of this kind, such
// as "order", to a backend server.
void NoteSkippedAnswers(Context& context,
                        const core::BackendEntry& backend,
                        const char* kind,
                        const TimedCall::Result& result);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_TIMED_CALL_H_
