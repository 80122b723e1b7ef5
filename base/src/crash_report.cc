#include "carawayvalve/base/crash_report.h"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <signal.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace carawayvalve::base {

namespace {

constexpr std::array kCrashSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr size_t kStackBytes = size_t{128} * 1024;
constexpr int kMaxFrames = 48;
// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kMaxWriteBytes = 4096;
// An address this close to the stack pointer was used for the stack.
constexpr uintptr_t kNearStackBytes = uintptr_t{256} * 1024;
constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kNsPerMs = 1000000;
constexpr int kHexadecimal = 16;

// What the handler reads; set before the handlers are.
struct CrashSettings {
  int descriptor = -1;
  // The difference between the program's addresses and those in its file.
  uintptr_t load_bias = 0;
  // The program's code lies in [first, last).
  uintptr_t first = 0;
  uintptr_t last = 0;
};

CrashSettings crash_settings;
std::atomic<const WaitingText*> text_before_crash = nullptr;
alignas(std::max_align_t) std::array<char, kStackBytes> handler_stack;

// Collects a line in memory of a fixed size; what is beyond is left out.
class CrashLine {
 public:
  CrashLine& Add(std::string_view text) {
    const size_t count = std::min(text.size(), this->bytes.size() - this->size);
    std::copy_n(text.data(), count, this->bytes.data() + this->size);
    this->size += count;
    return *this;
  }
  CrashLine& AddNumber(int64_t number) { return this->Convert(number, 10); }
  CrashLine& AddHexadecimal(uintptr_t number) {
    return this->Add("0x").Convert(number, kHexadecimal);
  }
  std::string_view view() const { return {this->bytes.data(), this->size}; }

 private:
  template <typename Number>
  CrashLine& Convert(Number number, int base) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   number, base);
    return this->Add({digits.data(), end.ptr});
  }

  std::array<char, kMaxWriteBytes> bytes;
  size_t size = 0;
};

// Writes what the descriptor accepts without blocking.
void WriteNow(std::string_view text) {
  while (!text.empty()) {
    pollfd state{crash_settings.descriptor, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t taken = write(crash_settings.descriptor, text.data(),
                                std::min(text.size(), kMaxWriteBytes));
    if (taken <= 0) {
      return;
    }
    text.remove_prefix(static_cast<size_t>(taken));
  }
}

const char* NameOf(int number) {
  switch (number) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    default:
      return "SIGABRT";
  }
}

uintptr_t StackPointerOf(const void* context) {
  const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<uintptr_t>(machine.gregs[REG_RSP]);
#elif defined(__aarch64__)
  return machine.sp;
#else
#error "the stack pointer of this machine isn't known"
#endif
}

uintptr_t ProgramCounterOf(const void* context) {
  const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<uintptr_t>(machine.gregs[REG_RIP]);
#else
  return machine.pc;
#endif
}

void AddCodeAddress(CrashLine& line, uintptr_t address) {
  if (address >= crash_settings.first && address < crash_settings.last) {
    line.Add("+").AddHexadecimal(address - crash_settings.load_bias);
  } else {
    line.AddHexadecimal(address);
  }
}

void AddCause(CrashLine& line,
              int number,
              const siginfo_t& info,
              const void* context) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  line.Add("{\"ts\":")
      .AddNumber(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs)
      .Add(",\"level\":\"error\",\"event\":\"crashed\",\"signal\":\"")
      .Add(NameOf(number))
      .Add("\"");
  // Signals that a process sent have no address.
  if (info.si_code > 0) {
    const auto address = reinterpret_cast<uintptr_t>(info.si_addr);
    const uintptr_t stack = StackPointerOf(context);
    const uintptr_t distance =
        std::max(address, stack) - std::min(address, stack);
    line.Add(",\"address\":\"")
        .AddHexadecimal(address)
        .Add("\",\"near_stack_pointer\":")
        .Add(distance < kNearStackBytes ? "true" : "false");
  }
  line.Add(",\"at\":\"");
  AddCodeAddress(line, ProgramCounterOf(context));
  line.Add("\"");
}

void AddFrames(CrashLine& line) {
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  for (int i = 0; i < count; ++i) {
    line.Add(i == 0 ? "" : " ");
    AddCodeAddress(line, reinterpret_cast<uintptr_t>(frames[i]));
  }
}

void OnCrash(int number, siginfo_t* info, void* context) {
  if (const WaitingText* text = text_before_crash) {
    WriteNow(text->view());
  }
  CrashLine cause;
  AddCause(cause, number, *info, context);
  WriteNow(cause.view());
  // Written apart: to follow a damaged stack may end the process.
  CrashLine frames;
  frames.Add(",\"frames\":\"");
  AddFrames(frames);
  frames.Add("\"}\n");
  WriteNow(frames.view());
  // Arrives as this handler returns, with its default action.
  raise(number);
}

// Notes where the program lies, which is the first object of the process.
int NoteProgram(dl_phdr_info* info, size_t /*size*/, void* /*data*/) {
  crash_settings.load_bias = info->dlpi_addr;
  for (int i = 0; i < info->dlpi_phnum; ++i) {
    const ElfW(Phdr)& segment = info->dlpi_phdr[i];
    if (segment.p_type == PT_LOAD && (segment.p_flags & PF_X) != 0) {
      crash_settings.first = info->dlpi_addr + segment.p_vaddr;
      crash_settings.last = crash_settings.first + segment.p_memsz;
    }
  }
  return 1;
}

void SetUpHandlerStack() {
  stack_t present{};
  if (sigaltstack(nullptr, &present) == 0 &&
      (present.ss_flags & SS_DISABLE) != 0) {
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    sigaltstack(&stack, nullptr);
  }
}

}  // namespace

void ReportCrashes(int descriptor) {
  crash_settings.descriptor = descriptor;
  dl_iterate_phdr(NoteProgram, nullptr);
  // The first call loads a library, which a handler mustn't.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), static_cast<int>(frame.size()));
  SetUpHandlerStack();
  for (const int number : kCrashSignals) {
    struct sigaction present {};
    if (sigaction(number, nullptr, &present) != 0 ||
        present.sa_handler != SIG_DFL) {
      continue;
    }
    struct sigaction action {};
    action.sa_sigaction = OnCrash;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    sigemptyset(&action.sa_mask);
    sigaction(number, &action, nullptr);
  }
}

void SetTextBeforeCrash(const WaitingText* text) {
  text_before_crash = text;
}

const WaitingText* TextBeforeCrash() {
  return text_before_crash;
}

}  // namespace carawayvalve::base
