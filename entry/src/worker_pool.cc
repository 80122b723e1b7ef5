#include "worker_pool.h"

#include <utility>

namespace carawayvalve::entry {

WorkerPool::WorkerPool(size_t thread_count) {
  for (size_t i = 0; i < thread_count; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void WorkerPool::Post(std::function<void()> job) {
  const std::lock_guard lock(this->mutex);
  this->jobs.push_back(std::move(job));
  this->changed.notify_one();
}

void WorkerPool::Run() {
  for (;;) {
    std::function<void()> job;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(lock,
                         [&] { return this->stopping || !this->jobs.empty(); });
      if (this->jobs.empty()) {
        return;
      }
      job = std::move(this->jobs.front());
      this->jobs.pop_front();
    }
    job();
  }
}

}  // namespace carawayvalve::entry
