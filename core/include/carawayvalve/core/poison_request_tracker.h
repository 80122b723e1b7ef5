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

// Returns the SHA-256 digest that identifies a request's content. It is the
// same when an account sends the content again, and differs between accounts.
std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body);

// Records that a content was running when a backend server crashed.
struct CrashRecord {
  std::string content_digest;
  // Identifies the crash; the same in all processes.
  std::string death_id;
  // Time since the crash when the record was copied.
  base::Duration age{};

  bool operator==(const CrashRecord&) const = default;
};

// Tracks contents that were running when backend servers crashed, and
// quarantines poison requests: one crash may be chance, after two the content
// is refused for a while. Records of other processes can be merged in any order
// and any number of times; only the choice of evicted records may then differ.
class PoisonRequestTracker {
 public:
  struct Settings {
    // How long a crash counts.
    base::Duration time_to_live = std::chrono::minutes(10);
    // Beyond this number the oldest records are evicted.
    size_t max_records = 4096;

    bool operator==(const Settings&) const = default;
  };

  explicit PoisonRequestTracker(const Settings& settings);

  // Records that a backend server crashed while it ran the content.
  void NoteCrash(const std::string& content_digest,
                 const std::string& death_id,
                 base::Instant now);

  // Returns the number of distinct crashes that still count.
  int CountCrashes(const std::string& content_digest, base::Instant now) const;

  // Returns for how long the content is still refused, nothing if it isn't.
  std::optional<base::Duration> QuarantineLeft(
      const std::string& content_digest,
      base::Instant now) const;

  // Returns the records that still count, to be sent to other processes.
  std::vector<CrashRecord> Records(base::Instant now) const;
  void Merge(const std::vector<CrashRecord>& records, base::Instant now);

  // Removes old records. They are kept for another `time_to_live` after they
  // have expired: a copy looks younger by its time in transit, and would
  // otherwise circulate between processes for ever.
  void Prune(base::Instant now);

  size_t size() const { return this->crashes.size(); }

 private:
  // Content digest and crash identifier.
  using Key = std::pair<std::string, std::string>;

  void Add(const Key& key, base::Instant crashed_at);
  bool Counts(base::Instant crashed_at, base::Instant now) const;

  Settings settings;
  std::map<Key, base::Instant> crashes;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_
