#ifndef CARAWAYVALVE_ENTRY_SRC_WORKER_POOL_H_
#define CARAWAYVALVE_ENTRY_SRC_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carawayvalve::entry {

// Runs blocking calls, such as those to the store, on a fixed number of
// threads.
class WorkerPool {
 public:
  explicit WorkerPool(size_t thread_count);
  // Runs all posted jobs to completion first.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues the job. It must not throw.
  void Post(std::function<void()> job);

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> jobs;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_WORKER_POOL_H_
