#include "child.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>
#include <utility>

namespace carawayvalve::tests {

Child::Child(const std::vector<std::string>& command,
             const std::string& log_path)
    : pid(fork()) {
  if (this->pid < 0) {
    throw std::runtime_error("can't start " + command.front());
  }
  if (this->pid > 0) {
    return;
  }
  const int out = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments.front(), arguments.data());
  _exit(127);
}

Child::~Child() {
  this->Kill();
}

Child::Child(Child&& other) noexcept : pid(std::exchange(other.pid, 0)) {}

Child& Child::operator=(Child&& other) noexcept {
  std::swap(this->pid, other.pid);
  return *this;
}

void Child::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

void Child::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
}

int64_t Child::ResidentBytes() const {
  std::ifstream statm("/proc/" + std::to_string(this->pid) + "/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

bool Child::IsRunning() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = 0;
  }
  return this->pid > 0;
}

}  // namespace carawayvalve::tests
