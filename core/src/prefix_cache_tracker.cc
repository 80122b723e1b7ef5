#include "carawayvalve/core/prefix_cache_tracker.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// Bounds the memory, whatever lengths callers state.
constexpr size_t kMaxEntriesPerEngine = 4096;
constexpr size_t kMaxPrefixes = 64;

// Mixes a value into a hash (the finalizer of splitmix64).
uint64_t Mix(uint64_t hash, uint64_t value) {
  uint64_t mixed = hash ^ (value + 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

std::vector<PrefixKey> PrefixKeysOf(const Prompt& prompt) {
  std::vector<PrefixKey> keys;
  if (prompt.parts.empty()) {
    return keys;
  }
  PrefixKey key{base::StableHash(prompt.model.value), 0};
  for (auto part = prompt.parts.begin();
       part + 1 != prompt.parts.end() && keys.size() < kMaxPrefixes; ++part) {
    key.hash = Mix(key.hash, base::StableHash(part->id));
    key.tokens = BoundTokens(key.tokens + BoundTokens(part->tokens));
    keys.push_back(key);
  }
  return keys;
}

void PrefixCacheTracker::NoteSent(const base::BackendServerId& id,
                                  const std::vector<PrefixKey>& keys) {
  Engine& engine = this->engines[id];
  int64_t previous_tokens = 0;
  // The longest prefix is added last, so that eviction never keeps it without
  // the shorter ones.
  for (const PrefixKey& key : keys) {
    // Peers may state any counts.
    const int64_t tokens = std::max<int64_t>(key.tokens - previous_tokens, 0);
    previous_tokens = std::max(key.tokens, previous_tokens);
    const auto found = engine.by_hash.find(key.hash);
    if (found != engine.by_hash.end()) {
      engine.entries.splice(engine.entries.begin(), engine.entries,
                            found->second);
      continue;
    }
    engine.entries.push_front({key.hash, tokens, false});
    engine.by_hash[key.hash] = engine.entries.begin();
    engine.tokens += tokens;
  }
  while (engine.entries.size() > kMaxEntriesPerEngine ||
         (engine.tokens > this->capacity && !engine.entries.empty())) {
    const Entry& oldest = engine.entries.back();
    engine.tokens -= oldest.tokens;
    engine.by_hash.erase(oldest.hash);
    engine.entries.pop_back();
  }
}

void PrefixCacheTracker::NotePrefilled(const base::BackendServerId& id,
                                       const std::vector<PrefixKey>& keys) {
  this->NoteSent(id, keys);
  Engine& engine = this->engines[id];
  for (const PrefixKey& key : keys) {
    const auto found = engine.by_hash.find(key.hash);
    if (found != engine.by_hash.end()) {
      found->second->read = true;
    }
  }
}

void PrefixCacheTracker::Forget(const base::BackendServerId& id) {
  this->engines.erase(id);
}

template <typename Accepts>
int64_t PrefixCacheTracker::LongestPrefixTokens(
    const base::BackendServerId& id,
    const std::vector<PrefixKey>& keys,
    const Accepts& accepts) const {
  const auto engine = this->engines.find(id);
  if (engine == this->engines.end()) {
    return 0;
  }
  int64_t tokens = 0;
  for (const PrefixKey& key : keys) {
    const auto found = engine->second.by_hash.find(key.hash);
    if (found == engine->second.by_hash.end() || !accepts(*found->second)) {
      break;
    }
    tokens = key.tokens;
  }
  return tokens;
}

int64_t PrefixCacheTracker::CachedTokens(
    const base::BackendServerId& id,
    const std::vector<PrefixKey>& keys) const {
  return this->LongestPrefixTokens(id, keys, [](const Entry&) { return true; });
}

int64_t PrefixCacheTracker::PrefilledTokens(
    const base::BackendServerId& id,
    const std::vector<PrefixKey>& keys) const {
  return this->LongestPrefixTokens(
      id, keys, [](const Entry& entry) { return entry.read; });
}

uint64_t AffinityRank(uint64_t prefix_hash, const base::BackendServerId& id) {
  return Mix(prefix_hash, base::StableHash(id.value));
}

}  // namespace carawayvalve::core
