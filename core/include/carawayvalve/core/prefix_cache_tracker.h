#ifndef CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_
#define CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/caller_request.h"

namespace carawayvalve::core {

// Identifies the prefix of a prompt up to the end of one of its parts.
struct PrefixKey {
  uint64_t hash = 0;
  // Length of the prefix.
  int64_t tokens = 0;

  bool operator==(const PrefixKey&) const = default;
};

// Returns the keys of the shareable prefixes of a prompt, the shortest first.
// The last part is specific to the request and is left out.
std::vector<PrefixKey> PrefixKeysOf(const Prompt& prompt);

// Tracks which shared prompt prefixes each engine probably has in its KV cache,
// based on the prompts that were sent to it. Like the engines, it evicts the
// least recently used prefixes.
class PrefixCacheTracker {
 public:
  // `capacity` is the number of tokens that an engine keeps for prefixes.
  explicit PrefixCacheTracker(int64_t capacity) : capacity(capacity) {}

  void SetCapacity(int64_t tokens) { this->capacity = tokens; }
  // Records that a prompt with these prefixes was sent to the engine.
  void NoteSent(const base::BackendServerId& id,
                const std::vector<PrefixKey>& keys);
  // Records that the engine has prefilled such a prompt, so that other engines
  // can copy its KV cache.
  void NotePrefilled(const base::BackendServerId& id,
                     const std::vector<PrefixKey>& keys);
  // Drops all prefixes of an engine that has restarted or was removed.
  void Forget(const base::BackendServerId& id);

  // Returns the length in tokens of the longest prefix that the engine has
  // cached or is about to prefill.
  int64_t CachedTokens(const base::BackendServerId& id,
                       const std::vector<PrefixKey>& keys) const;
  // Returns the length in tokens of the longest prefix that the engine has
  // prefilled.
  int64_t PrefilledTokens(const base::BackendServerId& id,
                          const std::vector<PrefixKey>& keys) const;

 private:
  struct Entry {
    uint64_t hash = 0;
    // Tokens of the last part of the prefix.
    int64_t tokens = 0;
    bool read = false;
  };
  using Entries = std::list<Entry>;
  struct Engine {
    // Most recently used first.
    Entries entries;
    std::unordered_map<uint64_t, Entries::iterator> by_hash;
    int64_t tokens = 0;
  };

  // Returns the length in tokens of the longest prefix all of whose entries are
  // accepted.
  template <typename Accepts>
  int64_t LongestPrefixTokens(const base::BackendServerId& id,
                              const std::vector<PrefixKey>& keys,
                              const Accepts& accepts) const;

  std::unordered_map<base::BackendServerId, Engine> engines;
  int64_t capacity;
};

// Returns the rank of `id` for a prefix. The engines with the highest ranks are
// its affinity engines; ranks need no shared state (rendezvous hashing), so
// that all processes agree, including one that has just started.
uint64_t AffinityRank(uint64_t prefix_hash, const base::BackendServerId& id);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_
