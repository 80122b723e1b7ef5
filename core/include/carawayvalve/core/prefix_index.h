#ifndef CARAWAYVALVE_CORE_PREFIX_INDEX_H_
#define CARAWAYVALVE_CORE_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kTokensPerPiece = 2048;

// Identifies the prefix of a prompt up to the end of one of its cache pieces.
using PrefixHash = uint64_t;

// Returns the estimated length of a text in tokens, rounded up.
int64_t CountTokens(const std::string& text);

// Returns the hash of the prompt up to the end of each complete piece.
std::vector<PrefixHash> PrefixHashes(const std::string& prompt);

// Parses a hash of 16 hexadecimal digits as published by engines; returns
// nullopt if the text isn't one.
std::optional<PrefixHash> ParsePrefixHash(const std::string& text);

// Index of the backend servers that probably hold the KV cache of a prompt
// prefix. It is built from cache events that arrive late and with gaps, so it
// only gives hints: the confidence in an entry falls with its age, and each gap
// in the events of a backend server ages all of its entries.
class PrefixIndex {
 public:
  struct Settings {
    // Confidence in an entry falls to zero when it wasn't confirmed for this
    // long.
    base::Duration lifetime = std::chrono::minutes(10);
    // Time by which a gap ages an entry.
    base::Duration gap_age = std::chrono::minutes(3);
    // When there are more, the entry that was confirmed longest ago is evicted.
    size_t max_entries = 50000;

    bool operator==(const Settings&) const = default;
  };

  explicit PrefixIndex(const Settings& settings);

  // Adds or confirms an entry.
  void Add(const base::BackendServerId& backend_server,
           PrefixHash hash,
           base::Instant now);
  void Drop(const base::BackendServerId& backend_server, PrefixHash hash);
  void NoteGap(const base::BackendServerId& backend_server);
  // Drops all entries of a backend server, such as when its cache was lost.
  void Forget(const base::BackendServerId& backend_server);
  // Drops the entries whose confidence is zero.
  void Prune(base::Instant now);

  // Returns the expected number of leading prompt tokens that are cached at
  // each backend server, for those that may hold any.
  std::map<base::BackendServerId, int64_t> CachedTokens(
      const std::vector<PrefixHash>& hashes,
      base::Instant now) const;

  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    PrefixHash hash = 0;
    base::BackendServerId backend_server;
    base::Instant confirmed;
    // Total gap age of the backend server at the confirmation.
    base::Duration gaps_before{};
  };

  // Least recently confirmed first.
  using Entries = std::list<Entry>;
  using Holders = std::map<base::BackendServerId, Entries::iterator>;

  void Erase(Entries::iterator entry);
  base::Duration GapsOf(const base::BackendServerId& backend_server) const;
  // Returns the confidence that the entry is still cached, from 0 to 1.
  double Confidence(const Entry& entry, base::Instant now) const;

  Settings settings;
  Entries entries;
  std::unordered_map<PrefixHash, Holders> holders;
  std::unordered_map<base::BackendServerId, base::Duration> gaps;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PREFIX_INDEX_H_
