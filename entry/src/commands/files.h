#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_FILES_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_FILES_H_

#include <string>

#include "carawayvalve/config/configuration.h"
#include "carawayvalve/entry/settings.h"

namespace carawayvalve::entry::commands {

// Read and parse a file. Throw base::Error if the file can't be read and
// DocumentError if its content has faults or isn't JSON.
config::Declaration ReadDeclarationFile(const std::string& path);
EntrySettings ReadSettingsFile(const std::string& path);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_FILES_H_
