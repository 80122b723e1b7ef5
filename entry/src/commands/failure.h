#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_FAILURE_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_FAILURE_H_

#include <exception>
#include <ostream>
#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"

namespace carawayvalve::entry::commands {

// A declaration or settings file has faults.
class DocumentError : public base::Error {
 public:
  DocumentError(const std::string& source, std::vector<base::Fault> faults);

  const std::vector<base::Fault>& faults() const { return this->fault_list; }

 private:
  std::vector<base::Fault> fault_list;
};

// Throws DocumentError if there are any faults.
void ThrowIfAny(const std::string& source,
                const std::vector<base::Fault>& faults);

// Writes the error to `errors`, as one JSON object if `json` is set, and
// returns the matching exit code.
int ReportFailure(const std::exception& error, bool json, std::ostream& errors);

// Prints that the document at `path` has no faults, with a summary of its
// content.
void PrintNoFaults(const std::string& path,
                   const std::string& summary,
                   bool json,
                   std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_FAILURE_H_
