#include <deque>
#include <memory>
#include <mutex>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

constexpr base::Milliseconds kRatePeriod(1000);
constexpr char kRetryAfterSeconds[] = "1";
constexpr uint64_t kMinBytes = 1'000'000'000;
constexpr uint64_t kBytesSpread = 100'000'000'000;

class Weights {
 public:
  explicit Weights(int64_t per_second) : per_second(per_second) {}

  Reply Handle(const Request& request) {
    if (!request.Is("GET", "weights", 3)) {
      return NotFound();
    }
    if (!this->TryAcquire()) {
      Reply reply = JsonReply(429, {{"error", "too many requests"}});
      reply.headers.emplace_back("Retry-After", kRetryAfterSeconds);
      return reply;
    }
    const uint64_t hash =
        base::StableHash(request.path[1] + "/" + request.path[2]);
    return JsonReply(200, {{"bytes", kMinBytes + hash % kBytesSpread}});
  }

 private:
  bool TryAcquire() {
    const base::Instant now = base::Now();
    const std::lock_guard lock(this->mutex);
    while (!this->answered.empty() &&
           this->answered.front() + kRatePeriod <= now) {
      this->answered.pop_front();
    }
    if (static_cast<int64_t>(this->answered.size()) >= this->per_second) {
      return false;
    }
    this->answered.push_back(now);
    return true;
  }

  const int64_t per_second;
  std::mutex mutex;
  // Times of the answers given in the last period.
  std::deque<base::Instant> answered;
};

}  // namespace

Handler MakeWeights(const Options& options, const std::stop_token&) {
  const auto weights =
      std::make_shared<Weights>(options.Number("--per-second"));
  return [weights](const Request& request) { return weights->Handle(request); };
}

}  // namespace carawayvalve::fakes
