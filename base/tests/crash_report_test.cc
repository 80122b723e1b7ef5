#include "carawayvalve/base/crash_report.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "carawayvalve/base/journal.h"

namespace carawayvalve::base {

namespace {

struct Ended {
  int signal = 0;
  std::vector<std::string> lines;

  nlohmann::json Crash() const {
    REQUIRE_FALSE(this->lines.empty());
    return nlohmann::json::parse(this->lines.back());
  }
};

// The test's own handlers would keep the signals.
void UseDefaultActions() {
  for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    signal(number, SIG_DFL);
  }
}

// Runs `crash` in a child process that reports crashes, and returns what it
// wrote and the signal by which it ended.
Ended RunChild(const std::function<void(int descriptor)>& crash) {
  int ends[2] = {};
  REQUIRE(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    close(ends[0]);
    UseDefaultActions();
    ReportCrashes(ends[1]);
    crash(ends[1]);
    _exit(0);
  }
  close(ends[1]);
  std::string text;
  char buffer[4096];
  for (ssize_t got = 0; (got = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<size_t>(got));
  }
  close(ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  Ended ended;
  ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  std::istringstream input(text);
  for (std::string line; std::getline(input, line);) {
    ended.lines.push_back(line);
  }
  return ended;
}

void ReadNull() {
  volatile int* volatile nothing = nullptr;
  *nothing = 1;
}

// Calls itself without end.
int Descend(volatile int* caller) {
  volatile int own = *caller + 1;
  return own == 0 ? 0 : Descend(&own) + own;
}

}  // namespace

TEST_CASE("a process that ends by a signal leaves a last line") {
  SUBCASE("a null write names its address and where it was made") {
    const Ended ended = RunChild([](int) { ReadNull(); });
    CHECK(ended.signal == SIGSEGV);
    const nlohmann::json crash = ended.Crash();
    CHECK(crash["event"] == "crashed");
    CHECK(crash["signal"] == "SIGSEGV");
    CHECK(crash["address"] == "0x0");
    CHECK(crash["near_stack_pointer"] == false);
    CHECK(crash["at"].get<std::string>().starts_with("+0x"));
    CHECK(crash["frames"].get<std::string>().find(
              crash["at"].get<std::string>()) != std::string::npos);
  }
  SUBCASE("a stack without end is told as such") {
    const Ended ended = RunChild([](int) {
      volatile int start = 0;
      Descend(&start);
    });
    CHECK(ended.signal == SIGSEGV);
    const nlohmann::json crash = ended.Crash();
    CHECK(crash["signal"] == "SIGSEGV");
    CHECK(crash["near_stack_pointer"] == true);
  }
  SUBCASE("an abort has no address") {
    const Ended ended = RunChild([](int) { abort(); });
    CHECK(ended.signal == SIGABRT);
    const nlohmann::json crash = ended.Crash();
    CHECK(crash["signal"] == "SIGABRT");
    CHECK_FALSE(crash.contains("address"));
  }
}

TEST_CASE("a crash loses no line of the journal that wasn't flushed yet") {
  const Ended ended = RunChild([](int descriptor) {
    Journal journal({}, descriptor);
    journal.Write(LogLevel::kInfo, "flushed", {});
    journal.Flush();
    journal.Write(LogLevel::kInfo, "first", {});
    journal.Write(LogLevel::kInfo, "second", {});
    ReadNull();
  });
  REQUIRE(ended.lines.size() == 4);
  std::vector<std::string> events;
  for (const std::string& line : ended.lines) {
    events.push_back(nlohmann::json::parse(line)["event"]);
  }
  CHECK(events ==
        std::vector<std::string>{"flushed", "first", "second", "crashed"});
}

TEST_CASE("a crash doesn't wait for a reader that has stopped reading") {
  int ends[2] = {};
  REQUIRE(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    UseDefaultActions();
    alarm(20);
    ReportCrashes(ends[1]);
    Journal journal({}, ends[1]);
    const std::string text(1000, 'x');
    for (int i = 0; i < 200; ++i) {
      journal.Write(LogLevel::kInfo, "long", {{"text", text}});
    }
    ReadNull();
  }
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(WIFSIGNALED(status));
  CHECK(WTERMSIG(status) == SIGSEGV);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("a signal that already has a handler keeps it") {
  const Ended ended = RunChild([](int descriptor) {
    signal(SIGSEGV, [](int) { _exit(7); });
    ReportCrashes(descriptor);
    ReadNull();
  });
  CHECK(ended.signal == 0);
  CHECK(ended.lines.empty());
}

TEST_CASE("waiting text keeps its order and its bound") {
  WaitingText text(8);
  CHECK(text.Append("abcdef"));
  CHECK_FALSE(text.Append("ghi"));
  text.DropFront(4);
  CHECK(text.Append("ghi"));
  CHECK(text.view() == "efghi");
  CHECK(text.Append("jkl"));
  CHECK_FALSE(text.Append("m"));
  text.DropFront(100);
  CHECK(text.view().empty());
  CHECK(text.Append("12345678"));
  CHECK(text.view() == "12345678");
}

}  // namespace carawayvalve::base
