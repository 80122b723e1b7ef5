#ifndef CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_
#define CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Returns what a request's content is known by: the same for a caller that
// sends it again, another for every other account.
std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body);

// One content that was running when one backend server died.
struct CrashRecord {
  std::string content_digest;
  // Names the death; the same whoever tells of it.
  std::string death_id;
  // How long ago the death was, when the mark was taken.
  base::Duration age{};

  bool operator==(const CrashRecord&) const = default;
};

// The contents that were running when backend servers died. One such death may
// be chance; after two the content is refused for a while. Records of other
// processes can be merged in any order and any number of times; only which of
// the oldest marks make room may then differ.
class PoisonRequestTracker {
 public:
  struct Settings {
    // How long a death counts.
    base::Duration time_to_live = std::chrono::minutes(10);
    // Beyond these the oldest marks are forgotten.
    size_t max_records = 4096;

    bool operator==(const Settings&) const = default;
  };

  explicit PoisonRequestTracker(const Settings& settings);

  // A backend server has died while it ran the content.
  void NoteCrash(const std::string& content_digest,
                 const std::string& death_id,
                 base::Instant now);

  // Returns the number of different deaths that count.
  int CountCrashes(const std::string& content_digest, base::Instant now) const;

  // Returns for how long the content is still refused, nothing when it isn't.
  std::optional<base::Duration> QuarantineLeft(const std::string& content_digest,
                                           base::Instant now) const;

  // Returns the marks that count, for other processes.
  std::vector<CrashRecord> Records(base::Instant now) const;
  void Merge(const std::vector<CrashRecord>& marks, base::Instant now);

  // Forgets old marks. They are kept for another time to live after they
  // ceased to count: the copy of a mark seems younger by its time under way,
  // and would otherwise go round for ever.
  void Prune(base::Instant now);

  size_t size() const { return this->deaths.size(); }

 private:
  // Content digest and death id.
  using Key = std::pair<std::string, std::string>;

  void Add(const Key& key, base::Instant died);
  bool Counts(base::Instant died, base::Instant now) const;

  Settings settings;
  std::map<Key, base::Instant> deaths;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_
