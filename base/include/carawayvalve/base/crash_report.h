#ifndef CARAWAYVALVE_BASE_CRASH_REPORT_H_
#define CARAWAYVALVE_BASE_CRASH_REPORT_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <string_view>

namespace carawayvalve::base {

// Text that waits to be written, in memory of a fixed size: a signal handler
// can read it at any time. Not thread-safe.
class WaitingText {
 public:
  explicit WaitingText(size_t capacity);

  // Returns false, and adds nothing, when there is no room.
  bool Append(std::string_view text);
  // Drops this many bytes from the front; at most those of `view`.
  void DropFront(size_t count);
  std::string_view view() const;

 private:
  // Moves the text to the start of the memory.
  void Compact();

  size_t capacity;
  std::unique_ptr<char[]> bytes;
  // The text lies in [begin, end). Lock-free, so that a handler may read them.
  std::atomic<size_t> begin = 0;
  std::atomic<size_t> end = 0;
};

// Has a process that ends by SIGSEGV, SIGBUS, SIGFPE, SIGILL or SIGABRT write
// one JSON line to `descriptor` first: event `crashed` with the signal, the
// fault address, whether it lies near the stack pointer (a stack overflow), and
// the return addresses, innermost first; `+0x..` is an offset into the program,
// for addr2line. The signal then takes its default action. A signal that has a
// handler keeps it. Only the calling thread gets a stack of its own for the
// handler, so only its stack overflows are told.
void ReportCrashes(int descriptor);

// Has a crash write this text before its line; null for none. The text must
// outlive the setting.
void SetTextBeforeCrash(const WaitingText* text);

// Returns the text that a crash would write first, or null.
const WaitingText* TextBeforeCrash();

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_CRASH_REPORT_H_
