#ifndef CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_OBJECTS_H_
#define CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_OBJECTS_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/canonical.h"
#include "carawayvalve/config/json.h"
#include "carawayvalve/entry/configuration_store.h"
#include "configuration_pointer.h"

// Stores a configuration in the Object API. Templates over any type with the
// calls of systems::ObjectApi, so that tests can interleave and lose calls.
//
// Chunks may be deleted while another writer is about to use them, so two rules
// hold. A writer reuses an existing chunk only if the pointer that it read
// references the chunk, and writes it again otherwise. Deletion is conditional
// on the chunk's version, and only affects chunks that were written before the
// deleter's own pointer and aren't referenced by it. A writer can then lose a
// chunk only if its pointer is outdated and its update will fail.
namespace carawayvalve::entry::detail {

inline constexpr char kPointerKind[] = "configuration";
inline constexpr char kPointerName[] = "current";
inline constexpr char kChunkKind[] = "configuration-chunk";
inline constexpr char kStoreName[] = "Object API";

struct StoreOptions {
  // The API accepts values of up to a megabyte.
  size_t max_chunk_bytes = 900000;
  // Number of generations whose chunks are kept.
  size_t kept_generations = 10;
  // Unreferenced chunks of writers that crashed or lost a race are deleted
  // every this many generations.
  int64_t sweep_interval = 100;
};

// The pointer and the version of its object; the version is 0 before the first
// change.
struct StoredPointer {
  ConfigurationPointer pointer;
  int64_t version = 0;
};

template <typename Api>
StoredPointer ReadPointer(const Api& api) {
  const std::optional<systems::Object> object =
      api.Get(kPointerKind, kPointerName);
  if (!object.has_value()) {
    return {};
  }
  return {ParsePointer(object->value), object->version};
}

// Returns nothing if a chunk has been deleted.
template <typename Api>
std::optional<config::Configuration> ReadChunks(
    const Api& api,
    const GenerationRecord& record) {
  std::string text;
  for (size_t i = 0; i < record.chunk_versions.size(); ++i) {
    const std::optional<systems::Object> chunk =
        api.Get(kChunkKind, ChunkName(record.digest, i));
    if (!chunk.has_value()) {
      return std::nullopt;
    }
    text += chunk->value;
  }
  if (base::Sha256(text) != record.digest) {
    throw base::Error("read configuration", kStoreName,
                      "the content of generation " +
                          std::to_string(record.generation) +
                          " doesn't match its digest");
  }
  config::Configuration configuration =
      config::ParseConfiguration(text, "configuration in the Object API");
  configuration.generation = record.generation;
  return configuration;
}

// A pointer with the configuration that it points to.
struct StoredConfiguration {
  StoredPointer stored;
  config::Configuration configuration;
};

template <typename Api>
StoredConfiguration ReadStored(const Api& api) {
  StoredPointer stored = ReadPointer(api);
  while (stored.version != 0) {
    std::optional<config::Configuration> configuration =
        ReadChunks(api, stored.pointer.current);
    if (configuration.has_value()) {
      return {std::move(stored), std::move(*configuration)};
    }
    // Chunks are deleted once many generations have followed, so the pointer
    // may have become outdated.
    StoredPointer newer = ReadPointer(api);
    if (newer.version == stored.version) {
      throw base::Error("read configuration", kStoreName,
                        "generation " +
                            std::to_string(stored.pointer.current.generation) +
                            " lacks a chunk");
    }
    stored = std::move(newer);
  }
  return {};
}

// Ensures that the chunk was written after `pointer_version`, and returns its
// version.
template <typename Api>
int64_t WriteChunk(const Api& api,
                   const std::string& name,
                   const std::string& value,
                   int64_t pointer_version) {
  constexpr int kMaxTries = 5;
  int64_t if_version = 0;
  for (int i = 0; i < kMaxTries; ++i) {
    const systems::UpdateResult result =
        api.PutAndConfirm(kChunkKind, name, value, if_version);
    if (result.version > pointer_version) {
      return result.version;
    }
    if_version = result.version;
  }
  throw base::Error(
      "write configuration chunk", kStoreName,
      name + " is repeatedly written and deleted by other writers");
}

template <typename Api>
std::vector<int64_t> WriteChunks(const Api& api,
                                 const StoredPointer& stored,
                                 const std::string& digest,
                                 const std::string& text,
                                 const StoreOptions& options) {
  const GenerationRecord* reusable = FindDigest(stored.pointer, digest);
  if (reusable != nullptr) {
    return reusable->chunk_versions;
  }
  std::vector<int64_t> versions;
  for (const std::string& chunk : SplitUtf8(text, options.max_chunk_bytes)) {
    versions.push_back(WriteChunk(api, ChunkName(digest, versions.size()),
                                  chunk, stored.version));
  }
  return versions;
}

// Resolves an update that found another pointer: it may have been accepted by
// an earlier try whose answer was lost, and then been superseded. Returns the
// pointer in force if the update was accepted, and throws ConflictError if it
// had no effect.
template <typename Api>
StoredPointer ResolveUncertainWrite(const Api& api,
                                    const GenerationRecord& wanted) {
  StoredPointer found = ReadPointer(api);
  const int64_t newest = found.pointer.current.generation;
  const GenerationRecord* record =
      FindGeneration(found.pointer, wanted.generation);
  if (record == nullptr && newest > wanted.generation) {
    throw base::UnknownOutcomeError("change configuration", kStoreName,
                                    "generation " + std::to_string(newest) +
                                        " is in force, too many after the "
                                        "attempted one to tell its outcome");
  }
  if (record == nullptr || record->nonce != wanted.nonce) {
    throw ConflictError(newest);
  }
  return found;
}

// Updates the pointer and retries after a lost answer, which is safe because
// the update is conditional. Throws ConflictError if another change was
// accepted first.
template <typename Api>
StoredPointer WritePointer(const Api& api,
                           const ConfigurationPointer& wanted,
                           int64_t if_version) {
  constexpr int kMaxTries = 2;
  const std::string text = PrintPointer(wanted);
  systems::UpdateResult result;
  for (int i = 1;; ++i) {
    try {
      result = api.PutAndConfirm(kPointerKind, kPointerName, text, if_version);
      break;
    } catch (const base::UnknownOutcomeError&) {
      if (i == kMaxTries) {
        throw;
      }
    }
  }
  if (result.done) {
    return {wanted, result.version};
  }
  return ResolveUncertainWrite(api, wanted.current);
}

template <typename Api>
void DeleteDroppedChunks(const Api& api,
                         const ConfigurationPointer& before,
                         const ConfigurationPointer& after) {
  for (const GenerationRecord& record : DroppedGenerations(before, after)) {
    for (size_t i = 0; i < record.chunk_versions.size(); ++i) {
      api.Delete(kChunkKind, ChunkName(record.digest, i),
                 record.chunk_versions[i]);
    }
  }
}

// Deletes chunks that no kept generation references, whichever writer left
// them.
template <typename Api>
void DeleteUnreferencedChunks(const Api& api, const StoredPointer& stored) {
  for (const systems::Object& chunk : api.List(kChunkKind).objects) {
    const std::string digest = chunk.name.substr(0, chunk.name.rfind('-'));
    if (chunk.version < stored.version &&
        FindDigest(stored.pointer, digest) == nullptr) {
      api.Delete(kChunkKind, chunk.name, chunk.version);
    }
  }
}

template <typename Api>
void DeleteOldChunks(const Api& api,
                     const ConfigurationPointer& before,
                     const StoredPointer& after,
                     const StoreOptions& options) {
  try {
    DeleteDroppedChunks(api, before, after.pointer);
    if (after.pointer.current.generation % options.sweep_interval == 0) {
      DeleteUnreferencedChunks(api, after);
    }
  } catch (const base::Error&) {
    // The change is accepted; a later call of DeleteUnreferencedChunks deletes
    // the rest.
  }
}

template <typename Api>
ConfigurationChange ChangeStored(const Api& api,
                                 const std::string& writer,
                                 const ConfigurationFunction& wanted,
                                 const StoreOptions& options = {}) {
  const StoredConfiguration before = ReadStored(api);
  config::Configuration next = config::Canonical(wanted(before.configuration));
  const std::string digest = config::Digest(next);
  if (digest == config::Digest(before.configuration)) {
    return {before.configuration, false};
  }
  base::ThrowIfAny(config::CheckConfiguration(next), "wanted configuration");
  next.generation = before.configuration.generation + 1;
  GenerationRecord record{
      next.generation, digest, {}, writer, base::RandomName()};
  record.chunk_versions = WriteChunks(api, before.stored, digest,
                                      config::PrintContent(next), options);
  const StoredPointer after = WritePointer(
      api, NextPointer(before.stored.pointer, record, options.kept_generations),
      before.stored.version);
  DeleteOldChunks(api, before.stored.pointer, after, options);
  return {std::move(next), true};
}

// Returns the generation of the pointer among `objects`, or `fallback` if the
// pointer isn't there.
inline int64_t GenerationAmong(const std::vector<systems::Object>& objects,
                               int64_t fallback) {
  for (const systems::Object& object : objects) {
    if (object.name == kPointerName && !object.deleted) {
      return ParsePointer(object.value).current.generation;
    }
  }
  return fallback;
}

// Returns the position of the newest pointer; waits for a newer one first if
// the known one is no newer than `generation`.
template <typename Api>
WatchPosition FindNewest(const Api& api,
                         WatchPosition position,
                         int64_t generation,
                         base::Milliseconds wait) {
  if (!position.revision.has_value()) {
    const systems::ObjectList list = api.List(kPointerKind);
    position = {list.revision, GenerationAmong(list.objects, 0)};
  }
  if (position.generation <= generation) {
    const systems::ObjectList list =
        api.Watch(kPointerKind, *position.revision, wait);
    position = {list.revision,
                GenerationAmong(list.objects, position.generation)};
  }
  return position;
}

template <typename Api>
std::optional<config::Configuration> WatchStored(const Api& api,
                                                 WatchState& state,
                                                 int64_t generation,
                                                 base::Milliseconds wait) {
  // The position is taken while in use: a watch that runs beside another, or
  // after one that failed, starts from the beginning.
  WatchPosition position = FindNewest(api, state.Take(), generation, wait);
  std::optional<config::Configuration> found;
  if (position.generation > generation) {
    found = ReadStored(api).configuration;
    // Makes the next watch wait if the store has reverted to an older
    // generation.
    position.generation = found->generation;
  }
  state.Put(position);
  return position.generation > generation ? found : std::nullopt;
}

}  // namespace carawayvalve::entry::detail

#endif  // CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_OBJECTS_H_
