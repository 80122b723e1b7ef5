#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_MANUAL_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_MANUAL_H_

namespace carawayvalve::entry::commands {

// Returns the text of --help, which also defines the command line for docopt.
const char* Manual();

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_MANUAL_H_
