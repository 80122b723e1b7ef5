#ifndef CARAWAYVALVE_CORE_STREAM_ORIGINS_H_
#define CARAWAYVALVE_CORE_STREAM_ORIGINS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/caller_request.h"

namespace carawayvalve::core {

// Records with longer ids are refused, as their number alone wouldn't bound the
// memory.
inline constexpr size_t kMaxStreamIdBytes = 256;

// Returns the id by which the stream that began with this request is
// remembered: the request's own, or its hash if it is too long.
base::RequestId StreamIdOf(const base::RequestId& first);

// The software version that began a stream.
struct StreamOrigin {
  // The request that brought the caller the stream's first event.
  base::RequestId first;
  std::string software_version;
  // Time since it was noted last.
  base::Duration age{};
  // Digest of what the caller repeats to take the stream up, see
  // StreamContentDigest. Empty if it isn't known.
  std::string content{};
  // Read from what lost processes had stored.
  bool is_from_store = false;

  bool operator==(const StreamOrigin&) const = default;
};

// Returns a digest of a request that a caller sends again to take its stream
// up. Requests of different client accounts differ.
std::string StreamContentDigest(const base::ClientAccountId& account,
                                const std::string& target,
                                const std::string& body,
                                const std::optional<Prompt>& prompt);

// Remembers which software version began each recent stream. A stream may go on
// at that version only, wherever its caller takes it up.
class StreamOrigins {
 public:
  // Records that the version has sent events of the stream `age` ago. The first
  // version noted stays. Returns whether the stream wasn't known.
  bool Note(const StreamOrigin& origin, base::Instant now);
  // Returns the version that began the stream, nothing if it isn't known.
  std::optional<std::string> Find(const base::RequestId& first) const;
  // Returns the versions that began streams with this content.
  std::set<std::string> VersionsOf(const std::string& content) const;
  // Returns whether only the store told a stream of this first request, or, if
  // it is empty, with this content.
  bool IsFromStore(const base::RequestId& first,
                   const std::string& content) const;
  // Returns all streams with this content.
  std::vector<StreamOrigin> WithContent(const std::string& content,
                                        base::Instant now) const;
  // Returns what was noted within `max_age`, the newest first, at most
  // `max_count`.
  std::vector<StreamOrigin> Recent(base::Duration max_age,
                                   size_t max_count,
                                   base::Instant now) const;
  // Forgets streams that no caller takes up any more. To be called regularly.
  void Prune(base::Instant now);

  size_t size() const { return this->records.size(); }

 private:
  struct Record {
    std::string software_version;
    std::string content;
    base::Instant noted;
    bool is_from_store = false;
  };
  using Records = std::unordered_map<base::RequestId, Record>;

  void Erase(Records::iterator record);

  Records records;
  std::unordered_map<std::string, std::set<base::RequestId>> by_content;
  // In the order in which they were noted; those noted again are in it several
  // times.
  std::deque<std::pair<base::Instant, base::RequestId>> order;
};

// Returns the processes that keep the origin of a stream besides the one that
// served it: `count` of `live`, chosen by rendezvous hashing.
std::vector<base::HostId> OriginKeepers(const base::RequestId& first,
                                        const std::vector<base::HostId>& live,
                                        size_t count);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STREAM_ORIGINS_H_
