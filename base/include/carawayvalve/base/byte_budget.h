#ifndef CARAWAYVALVE_BASE_BYTE_BUDGET_H_
#define CARAWAYVALVE_BASE_BYTE_BUDGET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace carawayvalve::base {

// Bounds the bytes that the buffers of a process hold together. Beyond the
// limit the largest of those that may be dropped is dropped, so that a peer
// that sends without end loses its own buffer rather than those of others. Not
// thread-safe.
class ByteBudget {
 public:
  // The part of the budget that one buffer uses.
  class Buffer {
   public:
    // `drop` is called at most once, while any buffer of the budget changes. It
    // must not touch a buffer itself, but have the memory freed soon: the
    // dropped buffer counts no longer.
    Buffer(std::shared_ptr<ByteBudget> budget, std::function<void()> drop);
    ~Buffer();
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;

    // Sets the bytes that it holds now, and whether it may be dropped.
    void Resize(size_t bytes, bool droppable = true);

   private:
    friend class ByteBudget;

    std::shared_ptr<ByteBudget> budget;
    std::function<void()> drop;
    size_t bytes = 0;
    bool droppable = true;
    bool dropped = false;
  };

  explicit ByteBudget(size_t limit) : limit(limit) {}

  // Returns the bytes that all buffers hold, without the dropped ones.
  size_t used() const { return this->total; }
  // Returns the number of buffers dropped so far.
  int64_t dropped() const { return this->drop_count; }

 private:
  // Returns whether there was one that may be dropped.
  bool DropLargest();

  size_t limit;
  size_t total = 0;
  int64_t drop_count = 0;
  std::set<Buffer*> buffers;
};

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_BYTE_BUDGET_H_
