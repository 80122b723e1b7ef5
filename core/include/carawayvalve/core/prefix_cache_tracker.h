#ifndef CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_
#define CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/caller_request.h"

namespace carawayvalve::core {

// Names a prompt's beginning up to the end of one of its parts.
struct PrefixKey {
  uint64_t hash = 0;
  // Length of the beginning.
  int64_t tokens = 0;

  bool operator==(const PrefixKey&) const = default;
};

// Returns the keys of a prompt's beginnings, the shortest first. The last part
// belongs to the request alone and is left out.
std::vector<PrefixKey> PrefixKeysOf(const Prompt& prompt);

// Which shared beginnings of prompts each engine probably has in its KV cache,
// judged by what was sent there. Like the engines it forgets what was used
// least recently.
class PrefixCacheTracker {
 public:
  // `capacity` is the number of tokens that an engine keeps for prefixes.
  explicit PrefixCacheTracker(int64_t capacity) : capacity(capacity) {}

  void SetCapacity(int64_t tokens) { this->capacity = tokens; }
  // A prompt with these beginnings was sent to the engine.
  void NoteSent(const base::BackendServerId& id,
                const std::vector<PrefixKey>& keys);
  // The engine has read such a prompt, so that others can copy from it.
  void NotePrefilled(const base::BackendServerId& id,
                     const std::vector<PrefixKey>& keys);
  // The engine was started anew, or is gone.
  void Forget(const base::BackendServerId& id);

  // Returns the tokens of the longest beginning that the engine has, or is
  // about to read.
  int64_t CachedTokens(const base::BackendServerId& id,
                       const std::vector<PrefixKey>& keys) const;
  // Returns the tokens of the longest beginning that the engine has read.
  int64_t PrefilledTokens(const base::BackendServerId& id,
                          const std::vector<PrefixKey>& keys) const;

 private:
  struct Entry {
    uint64_t hash = 0;
    // Tokens of its last part.
    int64_t tokens = 0;
    bool read = false;
  };
  using Entries = std::list<Entry>;
  struct Engine {
    // The one used last comes first.
    Entries entries;
    std::unordered_map<uint64_t, Entries::iterator> by_hash;
    int64_t tokens = 0;
  };

  // Returns the tokens of the longest beginning all of whose entries fit.
  template <typename Accepts>
  int64_t LongestPrefixTokens(const base::BackendServerId& id,
                        const std::vector<PrefixKey>& keys,
                        const Accepts& accepts) const;

  std::unordered_map<base::BackendServerId, Engine> engines;
  int64_t capacity;
};

// Returns how `id` ranks for a beginning: of all engines, those with the
// highest ranks are its homes, also in a process that knows nothing else.
uint64_t AffinityRank(uint64_t prefix_hash, const base::BackendServerId& id);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PREFIX_CACHE_TRACKER_H_
