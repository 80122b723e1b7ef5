#include "carawayvalve/base/byte_budget.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::base {

ByteBudget::Buffer::Buffer(std::shared_ptr<ByteBudget> budget,
                           std::function<void()> drop)
    : budget(std::move(budget)), drop(std::move(drop)) {}

ByteBudget::Buffer::~Buffer() {
  this->Resize(0);
}

void ByteBudget::Buffer::Resize(size_t new_bytes, bool may_be_dropped) {
  if (this->dropped) {
    return;
  }
  this->droppable = may_be_dropped;
  this->budget->total = this->budget->total - this->bytes + new_bytes;
  this->bytes = new_bytes;
  if (new_bytes == 0) {
    this->budget->buffers.erase(this);
    return;
  }
  this->budget->buffers.insert(this);
  while (this->budget->total > this->budget->limit &&
         this->budget->DropLargest()) {
  }
}

bool ByteBudget::DropLargest() {
  const auto size = [](const Buffer* buffer) {
    return buffer->droppable ? buffer->bytes : 0;
  };
  const auto largest = std::max_element(
      this->buffers.begin(), this->buffers.end(),
      [&](const Buffer* a, const Buffer* b) { return size(a) < size(b); });
  if (largest == this->buffers.end() || size(*largest) == 0) {
    return false;
  }
  Buffer* const buffer = *largest;
  this->buffers.erase(largest);
  this->total -= buffer->bytes;
  buffer->bytes = 0;
  buffer->dropped = true;
  ++this->drop_count;
  buffer->drop();
  return true;
}

}  // namespace carawayvalve::base
