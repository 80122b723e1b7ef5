#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXIT_CODE_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXIT_CODE_H_

namespace carawayvalve::entry::commands {

// Exit codes of the program `carawayvalve`. Manual() documents them for
// operators.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
// The declaration or the settings have faults.
inline constexpr int kExitFaults = 3;
// Another change was accepted first.
inline constexpr int kExitConflict = 4;
// The store or the entry process didn't answer.
inline constexpr int kExitOutOfReach = 5;

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXIT_CODE_H_
