#include "configuration_pointer.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/field_reader.h"
#include "carawayvalve/config/document.h"

namespace carawayvalve::entry::detail {

using base::Fault;
using base::FieldReader;
using nlohmann::json;

namespace {

constexpr char kSource[] = "configuration pointer";
constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();

json ToJson(const GenerationRecord& record) {
  return {{"generation", record.generation},
          {"digest", record.digest},
          {"chunk_versions", record.chunk_versions},
          {"writer", record.writer},
          {"nonce", record.nonce}};
}

std::vector<int64_t> ReadVersions(FieldReader& reader) {
  std::vector<int64_t> versions;
  for (const json& version : reader.Array("chunk_versions")) {
    if (!version.is_number_integer()) {
      reader.AddFault("chunk_versions",
                      "holds a value that isn't a whole number", "versions");
      return {};
    }
    versions.push_back(version.get<int64_t>());
  }
  return versions;
}

GenerationRecord ReadRecord(FieldReader& reader) {
  GenerationRecord record;
  record.generation = reader.Integer("generation", 1, kMaxVersion);
  record.digest = reader.String("digest");
  record.chunk_versions = ReadVersions(reader);
  record.writer = reader.String("writer");
  record.nonce = reader.String("nonce");
  return record;
}

// Returns the newest record for which `matches` returns true, or null.
template <typename Matches>
const GenerationRecord* Find(const ConfigurationPointer& pointer,
                             const Matches& matches) {
  if (matches(pointer.current)) {
    return &pointer.current;
  }
  const auto found =
      std::find_if(pointer.earlier.begin(), pointer.earlier.end(), matches);
  return found == pointer.earlier.end() ? nullptr : &*found;
}

bool ContinuesCharacter(char byte) {
  constexpr unsigned char kMask = 0xc0;
  constexpr unsigned char kContinuation = 0x80;
  return (static_cast<unsigned char>(byte) & kMask) == kContinuation;
}

}  // namespace

std::string ChunkName(const std::string& digest, size_t index) {
  return digest + "-" + std::to_string(index);
}

std::string PrintPointer(const ConfigurationPointer& pointer) {
  json document = ToJson(pointer.current);
  json& earlier = document["earlier"] = json::array();
  for (const GenerationRecord& record : pointer.earlier) {
    earlier.push_back(ToJson(record));
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

ConfigurationPointer ParsePointer(const std::string& text) {
  const json document = config::ParseDocument(text, kSource);
  std::vector<Fault> faults;
  FieldReader reader(document, "", faults);
  ConfigurationPointer pointer;
  pointer.current = ReadRecord(reader);
  for (const json& item : reader.Array("earlier")) {
    FieldReader item_reader(item, reader.PathOf("earlier"), faults);
    pointer.earlier.push_back(ReadRecord(item_reader));
  }
  base::ThrowIfAny(faults, kSource);
  return pointer;
}

std::vector<std::string> SplitUtf8(const std::string& text, size_t max_bytes) {
  std::vector<std::string> chunks;
  size_t begin = 0;
  while (begin < text.size()) {
    size_t end = std::min(begin + max_bytes, text.size());
    while (end < text.size() && ContinuesCharacter(text[end])) {
      --end;
    }
    chunks.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return chunks;
}

ConfigurationPointer NextPointer(const ConfigurationPointer& pointer,
                                 const GenerationRecord& next,
                                 size_t max_generations) {
  ConfigurationPointer successor;
  successor.current = next;
  if (pointer.current.generation > 0) {
    successor.earlier.push_back(pointer.current);
  }
  successor.earlier.insert(successor.earlier.end(), pointer.earlier.begin(),
                           pointer.earlier.end());
  if (successor.earlier.size() > max_generations - 1) {
    successor.earlier.resize(max_generations - 1);
  }
  return successor;
}

const GenerationRecord* FindDigest(const ConfigurationPointer& pointer,
                                   const std::string& digest) {
  return Find(pointer, [&](const GenerationRecord& record) {
    return record.digest == digest;
  });
}

const GenerationRecord* FindGeneration(const ConfigurationPointer& pointer,
                                       int64_t generation) {
  return Find(pointer, [&](const GenerationRecord& record) {
    return record.generation == generation;
  });
}

std::vector<GenerationRecord> DroppedGenerations(
    const ConfigurationPointer& before,
    const ConfigurationPointer& after) {
  std::vector<GenerationRecord> dropped = before.earlier;
  dropped.push_back(before.current);
  std::erase_if(dropped, [&](const GenerationRecord& record) {
    return FindDigest(after, record.digest) != nullptr;
  });
  return dropped;
}

}  // namespace carawayvalve::entry::detail
