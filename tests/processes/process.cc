#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/ids.h"

namespace carawayvalve::tests {

namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kAwaitTimeout{60};

// Returns whether a process could listen on this port of the loopback address.
bool IsFree(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = bind(listener, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0;
  close(listener);
  return bound;
}

}  // namespace

void Await(const std::string& what, const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kAwaitTimeout;
  for (;;) {
    try {
      if (condition()) {
        return;
      }
    } catch (const base::Error&) {
      // The queried process may not be listening yet.
    }
    if (std::chrono::steady_clock::now() > until) {
      throw base::Error("await", "test", what + ": the wait timed out");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

// The system gives ports above this range to outgoing connections, so such a
// port could be in use before the process that it is meant for listens.
int FreePort() {
  constexpr int kFirst = 10000;
  constexpr int kPortCount = 22000;
  // Concurrent test runs start at different ports.
  constexpr int kStep = 211;
  static int next = getpid() * kStep % kPortCount;
  for (int tries = 0; tries < kPortCount; ++tries) {
    const int port = kFirst + next;
    next = (next + 1) % kPortCount;
    if (IsFree(port)) {
      return port;
    }
  }
  throw base::Error("bind", "loopback", "no port is free");
}

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "carawayvalve-test-XXXXXX")
          .string();
  if (mkdtemp(path.data()) == nullptr) {
    throw base::Error("make folder", path, "mkdtemp failed");
  }
  return path;
}

Process::Process(const std::vector<std::string>& command,
                 const std::string& log_path)
    : log_path(log_path) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int spawn_error = posix_spawn(&this->pid, arguments[0], &actions,
                                      nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (spawn_error != 0) {
    throw base::Error("start", command[0],
                      "error " + std::to_string(spawn_error));
  }
}

Process::~Process() {
  this->Kill();
}

void Process::Signal(int signal) const {
  if (this->pid > 0) {
    kill(this->pid, signal);
  }
}

void Process::Kill() {
  if (this->pid > 0) {
    this->Signal(SIGKILL);
    this->WaitForEnd();
  }
}

int Process::WaitForEnd() {
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string Process::Output() const {
  const std::ifstream file(this->log_path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string RunCommand(const std::vector<std::string>& command, int expected) {
  std::string path =
      (std::filesystem::temp_directory_path() / "carawayvalve-command-XXXXXX")
          .string();
  close(mkstemp(path.data()));
  Process process(command, path);
  const int code = process.WaitForEnd();
  std::string output = process.Output();
  unlink(path.c_str());
  if (code != expected) {
    throw base::Error("run", command[0],
                      "exit code " + std::to_string(code) + ": " + output);
  }
  return output;
}

}  // namespace carawayvalve::tests
