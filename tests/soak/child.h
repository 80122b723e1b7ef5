#ifndef CARAWAYVALVE_TESTS_SOAK_CHILD_H_
#define CARAWAYVALVE_TESTS_SOAK_CHILD_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace carawayvalve::tests {

// A child process; the destructor kills it.
class Child {
 public:
  Child() = default;
  // Appends standard output and error to the file `log_path`.
  Child(const std::vector<std::string>& command, const std::string& log_path);
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;

  void Signal(int number) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Returns whether the process runs, and reaps it if it has ended.
  bool IsRunning();
  bool started() const { return this->pid > 0; }
  // Returns the memory that it uses at present, in bytes; 0 if it has ended.
  int64_t ResidentBytes() const;

 private:
  pid_t pid = 0;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_CHILD_H_
