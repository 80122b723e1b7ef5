#ifndef CARAWAYVALVE_CONFIG_JSON_H_
#define CARAWAYVALVE_CONFIG_JSON_H_

#include <string>
#include <vector>

#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config {

// Parses a declaration from JSON with comments. Throws base::Error that lists
// every fault with its JSON path, the reason and the allowed values.
Declaration ParseDeclaration(const std::string& text,
                             const std::string& source);

// Like ParseDeclaration, but returns the faults. `declaration` is valid only if
// there are none. Throws base::Error when the text isn't valid JSON.
std::vector<base::Fault> CheckDeclaration(const std::string& text,
                                          const std::string& source,
                                          Declaration& declaration);

// Prints the canonical form, indented. Equivalent declarations print alike.
std::string PrintDeclaration(const Declaration& declaration);

// Validates a configuration from any source and returns its faults. Without
// faults it can be printed and parsed back.
std::vector<base::Fault> CheckConfiguration(const Configuration& configuration);

// Returns the canonical form without the generation; Digest is its SHA-256.
// ParseConfiguration accepts it, as generation 0.
std::string PrintContent(const Configuration& configuration);

// Returns the form in which processes exchange a configuration.
std::string PrintConfiguration(const Configuration& configuration);
// Throws base::Error like ParseDeclaration.
Configuration ParseConfiguration(const std::string& text,
                                 const std::string& source);

// Returns the SHA-256 digest of the canonical form, without the generation.
std::string Digest(const Configuration& configuration);

// Returns one line per difference: JSON path, old value and new value. Paths
// identify array items by name, as in /routes/desk/deadline_ms.
std::vector<std::string> Diff(const Declaration& from, const Declaration& to);

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_JSON_H_
