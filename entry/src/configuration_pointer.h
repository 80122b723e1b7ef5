#ifndef CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_
#define CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace carawayvalve::entry::detail {

// One accepted generation and the objects that hold its content.
struct GenerationRecord {
  int64_t generation = 0;
  std::string digest;
  // Of the chunk objects, in their order.
  std::vector<int64_t> chunk_versions;
  std::string writer;
  // Tells this change from every other one.
  std::string nonce;

  bool operator==(const GenerationRecord&) const = default;
};

// The one object whose conditional update puts a generation in force. It
// remembers some earlier generations: their chunks are still there, and a
// writer whose answer was lost finds its change among them.
struct ConfigurationPointer {
  GenerationRecord current;
  std::vector<GenerationRecord> earlier;  // the newest first

  bool operator==(const ConfigurationPointer&) const = default;
};

// The name of a chunk object; its content follows from its name.
std::string ChunkName(const std::string& digest, size_t index);

std::string PrintPointer(const ConfigurationPointer& pointer);
// Throws base::Error that lists the faults.
ConfigurationPointer ParsePointer(const std::string& text);

// Cuts UTF-8 text into pieces of at most `max_bytes`, never inside of a
// character. `max_bytes` is at least 4.
std::vector<std::string> SplitUtf8(const std::string& text, size_t max_bytes);

// Returns the pointer that follows `pointer`, with `kept` generations in all.
ConfigurationPointer NextPointer(const ConfigurationPointer& pointer,
                             const GenerationRecord& next,
                             size_t max_generations);

// Returns the record of that digest, or null when the pointer remembers none.
const GenerationRecord* FindDigest(const ConfigurationPointer& pointer,
                                   const std::string& digest);

// Returns the record of that generation, or null when the pointer remembers
// none.
const GenerationRecord* FindGeneration(const ConfigurationPointer& pointer,
                                       int64_t generation);

// Returns the records of `before` whose chunks `after` no longer needs.
std::vector<GenerationRecord> DroppedGenerations(const ConfigurationPointer& before,
                                        const ConfigurationPointer& after);

}  // namespace carawayvalve::entry::detail

#endif  // CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_
