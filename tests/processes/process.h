#ifndef CARAWAYVALVE_TESTS_PROCESSES_PROCESS_H_
#define CARAWAYVALVE_TESTS_PROCESSES_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace carawayvalve::tests {

// Waits until `condition` holds. Throws base::Error after a time so long that
// the result doesn't depend on the machine's speed; errors of the condition
// count as not holding.
void Await(const std::string& what, const std::function<bool()>& condition);

// Returns a TCP port of the loopback address that nothing listens on.
int FreePort();

// Creates a temporary folder and returns its path; the caller removes it.
std::string MakeFolder();

// A child process of a test. The destructor kills it if it still runs.
class Process {
 public:
  // Writes the process's standard output and error to `log_path`.
  Process(const std::vector<std::string>& command, const std::string& log_path);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Waits for the end and returns the exit code, or 128 + the signal that
  // ended the process.
  int WaitForEnd();
  bool running() const { return this->pid > 0; }
  std::string Output() const;

 private:
  pid_t pid = -1;
  std::string log_path;
};

// Runs a command to its end and returns its output; throws unless its exit
// code is `expected`.
std::string RunCommand(const std::vector<std::string>& command,
                       int expected = 0);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PROCESSES_PROCESS_H_
