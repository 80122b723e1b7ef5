#ifndef CARAWAYVALVE_TESTS_SOAK_CHILD_H_
#define CARAWAYVALVE_TESTS_SOAK_CHILD_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace carawayvalve::tests {

// A process that this one started. It is killed by its id with this object.
class Child {
 public:
  Child() = default;
  // Standard output and error are added to `log`.
  Child(const std::vector<std::string>& words, const std::string& log);
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;

  void Signal(int number) const;
  // Kills and waits.
  void Kill();
  // Whether it runs; collects one that has ended.
  bool Alive();
  bool started() const { return this->pid > 0; }

 private:
  pid_t pid = 0;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_CHILD_H_
