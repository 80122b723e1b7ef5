#include "files.h"

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/config/json.h"
#include "failure.h"

namespace carawayvalve::entry::commands {

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (!file.is_open() || file.bad()) {
    throw base::Error("read file", path,
                      std::generic_category().message(errno));
  }
  return text;
}

// Reads the document at `path` with `check(text, path, document)`, which
// returns the faults.
template <typename Document, typename Check>
Document ReadDocument(const std::string& path, const Check& check) {
  const std::string text = ReadFile(path);
  Document document;
  std::vector<base::Fault> faults;
  try {
    faults = check(text, path, document);
  } catch (const base::Error& error) {
    // The fault concerns the document as a whole, so it has no path.
    faults = {{"", error.reason(), "JSON with comments"}};
  }
  ThrowIfAny(path, faults);
  return document;
}

}  // namespace

config::Declaration ReadDeclarationFile(const std::string& path) {
  return ReadDocument<config::Declaration>(path, config::CheckDeclaration);
}

EntrySettings ReadSettingsFile(const std::string& path) {
  return ReadDocument<EntrySettings>(path, CheckEntrySettings);
}

}  // namespace carawayvalve::entry::commands
