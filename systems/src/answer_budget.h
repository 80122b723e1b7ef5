#ifndef CARAWAYVALVE_SYSTEMS_SRC_ANSWER_BUDGET_H_
#define CARAWAYVALVE_SYSTEMS_SRC_ANSWER_BUDGET_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include "carawayvalve/base/byte_budget.h"

namespace carawayvalve::systems::detail {

// Bounds what the answers of all calls of a process hold together. Thread-safe.
class AnswerBudget {
 public:
  // What the answer to one call holds. Used by one thread.
  class Share {
   public:
    explicit Share(AnswerBudget& budget);
    ~Share();

    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    void Resize(size_t bytes);
    // Returns whether the answer was the largest when all of them exceeded the
    // limit. The call should end soon: its answer counts no longer.
    bool dropped() const { return this->is_dropped; }

   private:
    AnswerBudget& budget;
    std::atomic<bool> is_dropped = false;
    // Guarded by the budget's mutex.
    std::optional<base::ByteBudget::Buffer> buffer;
  };

  // `limit` is in bytes.
  explicit AnswerBudget(size_t limit);

 private:
  std::mutex mutex;
  std::shared_ptr<base::ByteBudget> bytes;
};

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_ANSWER_BUDGET_H_
