#include "process_commands.h"

#include <unistd.h>

#include "carawayvalve/base/crash_report.h"
#include "carawayvalve/entry/serve.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/gateway/gateway.h"
#include "exit_code.h"
#include "failure.h"
#include "files.h"

namespace carawayvalve::entry::commands {

int Run(const ServeCommand& command, std::ostream& /*output*/) {
  return Serve(ReadSettingsFile(command.settings_path));
}

int Run(const GatewayCommand& command, std::ostream& /*output*/) {
  base::ReportCrashes(STDOUT_FILENO);
  return gateway::Serve(command.settings_path);
}

int Run(const PrintDefaultsCommand& /*command*/, std::ostream& output) {
  output << PrintDefaultEntrySettings();
  return kExitDone;
}

int Run(const CheckSettingsCommand& command, std::ostream& output) {
  const EntrySettings settings = ReadSettingsFile(command.path);
  PrintNoFaults(command.path, "settings of " + settings.host.value,
                command.json, output);
  return kExitDone;
}

}  // namespace carawayvalve::entry::commands
