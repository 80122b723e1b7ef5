#ifndef CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_
#define CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace carawayvalve::entry::detail {

// An accepted generation and the chunk objects that hold its content.
struct GenerationRecord {
  int64_t generation = 0;
  std::string digest;
  // Versions of the chunk objects, in their order.
  std::vector<int64_t> chunk_versions;
  std::string writer;
  // Random; distinguishes this change from every other one.
  std::string nonce;

  bool operator==(const GenerationRecord&) const = default;
};

// The single object whose conditional update (compare-and-swap) puts a
// generation in force. It also lists some earlier generations: their chunks
// still exist, and a writer whose answer was lost can find its change among
// them.
struct ConfigurationPointer {
  GenerationRecord current;
  std::vector<GenerationRecord> earlier;  // the newest first

  bool operator==(const ConfigurationPointer&) const = default;
};

// Returns the name of a chunk object. The name determines the content.
std::string ChunkName(const std::string& digest, size_t index);

std::string PrintPointer(const ConfigurationPointer& pointer);
// Throws base::Error that lists the faults.
ConfigurationPointer ParsePointer(const std::string& text);

// Splits UTF-8 text into chunks of at most `max_bytes` bytes, never within a
// character. `max_bytes` must be at least 4.
std::vector<std::string> SplitUtf8(const std::string& text, size_t max_bytes);

// Returns the pointer that puts `next` in force after `pointer` and lists at
// most `max_generations` generations in all.
ConfigurationPointer NextPointer(const ConfigurationPointer& pointer,
                                 const GenerationRecord& next,
                                 size_t max_generations);

// Returns the record with this digest, or null if the pointer lists none.
const GenerationRecord* FindDigest(const ConfigurationPointer& pointer,
                                   const std::string& digest);

// Returns the record of this generation, or null if the pointer lists none.
const GenerationRecord* FindGeneration(const ConfigurationPointer& pointer,
                                       int64_t generation);

// Returns the records of `before` whose chunks `after` no longer references.
std::vector<GenerationRecord> DroppedGenerations(
    const ConfigurationPointer& before,
    const ConfigurationPointer& after);

}  // namespace carawayvalve::entry::detail

#endif  // CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_POINTER_H_
