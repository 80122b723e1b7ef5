#include "answer_budget.h"

namespace carawayvalve::systems::detail {

AnswerBudget::AnswerBudget(size_t limit)
    : bytes(std::make_shared<base::ByteBudget>(limit)) {}

AnswerBudget::Share::Share(AnswerBudget& budget) : budget(budget) {
  this->buffer.emplace(budget.bytes, [this] { this->is_dropped = true; });
}

AnswerBudget::Share::~Share() {
  const std::lock_guard lock(this->budget.mutex);
  this->buffer.reset();
}

void AnswerBudget::Share::Resize(size_t bytes) {
  const std::lock_guard lock(this->budget.mutex);
  this->buffer->Resize(bytes);
}

}  // namespace carawayvalve::systems::detail
