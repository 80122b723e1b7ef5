#ifndef CARAWAYVALVE_GATEWAY_TESTS_TEST_GATEWAY_H_
#define CARAWAYVALVE_GATEWAY_TESTS_TEST_GATEWAY_H_

#include <unistd.h>

#include <functional>
#include <vector>

#include "context.h"

namespace carawayvalve::gateway {

inline constexpr size_t kTestBufferBytes = size_t{4} * 1024 * 1024;
// What the answers that a test's gateway reads as a whole may hold.
inline constexpr size_t kTestAnswerBytes = size_t{16} * 1024 * 1024;

// The context and other objects that a test of one part of a gateway needs.
struct TestGateway {
  explicit TestGateway(const GatewaySettings& settings) : state(settings) {}

  // Runs the loop for `time`, or until it is stopped.
  void RunFor(base::Duration time) {
    net::Timer end(this->loop);
    end.Start(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  net::EventLoop loop;
  base::Journal journal{{base::LogLevel::kError, 1024}, STDOUT_FILENO};
  GatewayMetrics metrics;
  GatewayState state;
  net::HttpClient backends{loop, std::chrono::seconds(1)};
  LateRequestScheduler late_requests{loop};
  std::mt19937_64 generator{1};
  std::vector<SentPrefix> sent_prefixes;
  std::function<void()> on_load_changed = [] {};
  std::function<void()> on_urgent_news = [] {};
  StreamOriginLookup origin_lookup{loop, state};
  AccountLimits account_limits{loop, state.account_rates};
  LiveRequests live_requests;
  std::shared_ptr<base::ByteBudget> buffers =
      std::make_shared<base::ByteBudget>(kTestBufferBytes);
  std::shared_ptr<base::ByteBudget> answers =
      std::make_shared<base::ByteBudget>(kTestAnswerBytes);
  std::function<void(int64_t)> on_store_era = [](int64_t) {};
  Context context{loop,           state,         journal,
                  metrics,        backends,      late_requests,
                  generator,      sent_prefixes, on_load_changed,
                  on_urgent_news, origin_lookup, account_limits,
                  live_requests,  buffers,       answers,
                  on_store_era};
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_TESTS_TEST_GATEWAY_H_
