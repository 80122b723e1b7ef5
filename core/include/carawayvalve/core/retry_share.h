#ifndef CARAWAYVALVE_CORE_RETRY_SHARE_H_
#define CARAWAYVALVE_CORE_RETRY_SHARE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// This process's share of the retries that all entry processes together may
// send to one service: in any span of `window`, at most `ratio` of the
// service's requests in it and `slack` more. Each process takes the ratio of
// its own requests and, once it knows into how many parts the slack is divided
// (see RetrySharers), one of them; so that no word between processes is needed
// for each retry, also while they are cut off from one another.
class RetryShare {
 public:
  struct Settings {
    double ratio = 0.2;
    double slack = 0;
    base::Duration window = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  // What the share knows at one instant.
  struct Figures {
    // Sent within the window.
    int64_t retries = 0;
    int64_t requests = 0;
    // How many retries the window may have.
    double allowed = 0;

    bool operator==(const Figures&) const = default;
  };

  explicit RetryShare(const Settings& settings) : settings(settings) {}

  // Counts a request of a caller.
  void NoteRequest(base::Instant now);

  // Spends a retry if one is left, with the slack divided into `parts`; without
  // any of it if that isn't known.
  bool TrySpend(std::optional<int64_t> parts, base::Instant now);
  // Whether TrySpend would succeed.
  bool HasLeft(std::optional<int64_t> parts, base::Instant now);
  Figures At(std::optional<int64_t> parts, base::Instant now);

 private:
  void Forget(base::Instant now);

  Settings settings;
  std::deque<base::Instant> requests;
  std::deque<base::Instant> retries;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_SHARE_H_
