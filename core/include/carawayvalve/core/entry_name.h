#ifndef CARAWAYVALVE_CORE_ENTRY_NAME_H_
#define CARAWAYVALVE_CORE_ENTRY_NAME_H_

#include <string>
#include <string_view>

namespace carawayvalve::core {

// Returns whether `name`, the name of an entry in the store, can be that of a
// backend server or a gateway: letters, digits and "-._~", and not dots alone.
// Such a name is the same in a target, a header field, a log and a label. An
// entry with any other name comes from another writer and is ignored.
bool IsEntryName(std::string_view name);

// Returns any name as printable ASCII for logs, with other bytes and
// backslashes as \xNN. A name of over 100 bytes is cut, and its length added.
std::string PrintableName(std::string_view name);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ENTRY_NAME_H_
