#ifndef CARAWAYVALVE_CORE_ORIGIN_SEARCH_H_
#define CARAWAYVALVE_CORE_ORIGIN_SEARCH_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// What this process knows of the stream that a caller takes up.
struct OriginEvidence {
  // The version noted under the stream's first request; always empty if the
  // caller doesn't name that.
  std::optional<std::string> by_first;
  // The versions noted for streams with the same content.
  std::set<std::string> by_content;
  // The only version that the stream can have begun at, if this process knows
  // all registrations of backend servers.
  std::optional<std::string> only_version;
  // The store or a peer has shown that this process knew all registrations at
  // this instant; nothing before the first list.
  std::optional<base::Instant> registry_known_to;
  // The live peers, and those of them that haven't answered what they noted for
  // the content.
  size_t peers = 0;
  size_t silent_peers = 0;

  bool operator==(const OriginEvidence&) const = default;
};

// Asks the peers that keep the origin of the stream.
struct AskOriginKeepers {
  bool operator==(const AskOriginKeepers&) const = default;
};
struct AskAllPeers {
  bool operator==(const AskAllPeers&) const = default;
};
// Reads what processes that are gone have stored.
struct ReadStoredOrigins {
  bool operator==(const ReadStoredOrigins&) const = default;
};
// Has the store show that all registrations of backend servers are known here.
struct ConfirmRegistry {
  bool operator==(const ConfirmRegistry&) const = default;
};
using OriginRequest = std::
    variant<AskOriginKeepers, AskAllPeers, ReadStoredOrigins, ConfirmRegistry>;

// What shows the version that began a stream: what was noted under its first
// request, that its service has had no other one, or what was noted for streams
// with the same content.
enum class OriginProof { kFirstRequest, kOnlyVersion, kContent };

// Returns the proof's name in logs.
const char* NameOf(OriginProof proof);

// The stream began at this version and goes on there only.
struct ContinueAtVersion {
  std::string version;
  OriginProof proof = OriginProof::kFirstRequest;

  bool operator==(const ContinueAtVersion&) const = default;
};
// Nothing shows which version began the stream. It must not go on.
struct OriginUnknown {
  std::string reason;

  bool operator==(const OriginUnknown&) const = default;
};

using OriginVerdict = std::variant<ContinueAtVersion, OriginUnknown>;

// Finds out which software version began a stream that a caller takes up: from
// what this process knows, then from the peers that keep the origin, then from
// all peers, and from what processes that are gone have stored. A stream that
// its caller names has one origin, and the first word of it decides. That its
// service has had one version only shows the origin once it is known that this
// holds at the start of the search, before which the stream began: a process
// that stood still or is cut off doesn't notice that by itself. Otherwise
// only its content identifies the stream: all answers are awaited, and several
// versions, or answers that are missing, leave the origin open.
class OriginSearch {
 public:
  struct Settings {
    // Time for the answers of the peers that keep the origin, several round
    // trips between data centres.
    base::Duration keepers_time = std::chrono::milliseconds(40);
    // The same for all peers.
    base::Duration peers_time = std::chrono::milliseconds(80);
    // Time for what is stored, counted from the start.
    base::Duration stored_time = std::chrono::milliseconds(300);
    // The same for the store to show that all registrations are known.
    base::Duration registry_time = std::chrono::milliseconds(300);

    bool operator==(const Settings&) const = default;
  };

  // `is_named`: the caller names the first request of the stream. `has_peers`:
  // there are processes to ask. `may_be_stored`: processes that are gone may
  // have stored what no live one knows, and it hasn't been read since.
  OriginSearch(const Settings& settings,
               bool is_named,
               bool has_peers,
               bool may_be_stored,
               base::Instant now);

  // Returns what is to be asked now. Must be called at the start, when evidence
  // has been learnt and at `wake_at`, until there is a verdict.
  std::vector<OriginRequest> Step(const OriginEvidence& evidence,
                                  base::Instant now);
  // Records that everything stored has been read, or that it can't be read.
  void NoteStoredRead(bool is_complete) {
    this->awaits_stored = false;
    this->lacks_stored = !is_complete;
  }

  // Returns the time until `now` within which the stream can have begun, if
  // callers take streams up within `horizon`.
  base::Duration TimeToCover(base::Duration horizon, base::Instant now) const {
    return horizon + (now - this->started);
  }

  // Nothing until the search is over.
  const std::optional<OriginVerdict>& verdict() const {
    return this->verdict_reached;
  }
  // Returns when Step must be called next.
  base::Instant wake_at() const;

 private:
  enum class Stage { kNew, kKeepers, kAllPeers, kAsked };

  // Returns whether the only version is a proof.
  bool IsRegistryKnown(const OriginEvidence& evidence) const;
  std::optional<OriginVerdict> Conclude(const OriginEvidence& evidence,
                                        base::Instant now) const;
  void AskPeers(std::vector<OriginRequest>& requests, base::Instant now);

  Settings settings;
  bool is_named;
  bool has_peers;
  bool awaits_stored;
  // Processes that are gone may have stored what wasn't read.
  bool lacks_stored;
  base::Instant started;
  Stage stage = Stage::kNew;
  bool asked_store = false;
  // The end of the stage.
  base::Instant stage_end;
  std::optional<OriginVerdict> verdict_reached;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ORIGIN_SEARCH_H_
