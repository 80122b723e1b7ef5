#ifndef CARAWAYVALVE_ENTRY_TESTS_LOCKSTEP_H_
#define CARAWAYVALVE_ENTRY_TESTS_LOCKSTEP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace carawayvalve::entry {

// Runs several tasks in an order given in advance: one task runs at a time, up
// to its next Yield.
class Lockstep {
 public:
  explicit Lockstep(std::vector<int> schedule)
      : schedule(std::move(schedule)) {}

  void Run(const std::vector<std::function<void()>>& tasks) {
    std::vector<std::thread> threads;
    for (size_t i = 0; i < tasks.size(); ++i) {
      this->unfinished.push_back(i);
    }
    this->ActivateNext();
    for (size_t i = 0; i < tasks.size(); ++i) {
      threads.emplace_back([this, i, &tasks] {
        self = i;
        this->WaitForTurn();
        tasks[i]();
        this->Finish();
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  // Lets the next task run, and returns once this one is scheduled again. Does
  // nothing when called outside of a task.
  void Yield() {
    if (self == kNoTask) {
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      this->ActivateNext();
    }
    this->WaitForTurn();
  }

 private:
  static constexpr size_t kNoTask = static_cast<size_t>(-1);

  void WaitForTurn() {
    std::unique_lock lock(this->mutex);
    this->turn_changed.wait(lock, [this] { return this->turn == self; });
  }

  void Finish() {
    const std::lock_guard lock(this->mutex);
    std::erase(this->unfinished, self);
    this->ActivateNext();
  }

  void ActivateNext() {
    if (this->unfinished.empty()) {
      return;
    }
    const size_t choice = this->steps < this->schedule.size()
                              ? this->schedule[this->steps]
                              : this->steps;
    ++this->steps;
    this->turn = this->unfinished[choice % this->unfinished.size()];
    this->turn_changed.notify_all();
  }

  inline static thread_local size_t self = kNoTask;

  std::vector<int> schedule;
  std::mutex mutex;
  std::condition_variable turn_changed;
  std::vector<size_t> unfinished;
  size_t steps = 0;
  size_t turn = kNoTask;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_TESTS_LOCKSTEP_H_
