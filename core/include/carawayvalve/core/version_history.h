#ifndef CARAWAYVALVE_CORE_VERSION_HISTORY_H_
#define CARAWAYVALVE_CORE_VERSION_HISTORY_H_

#include <map>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// The software versions that a service has had lately, as one process tells its
// successors.
struct ServiceVersions {
  // All versions that the service has had within this time are known.
  base::Duration known_for{};
  // Time since a backend server of each version was last registered.
  std::map<std::string, base::Duration> ages;

  bool operator==(const ServiceVersions&) const = default;
};

// Remembers which software versions the backend servers of each service have
// had. A stream can only have begun at one of them, so that a version which was
// the only one for as long as callers take streams up needs no other proof.
class VersionHistory {
 public:
  // Records that a backend server of this version is registered.
  void NoteVersion(const base::ServiceId& service,
                   const std::string& version,
                   base::Instant now);
  // Records that registrations may have come and gone unseen until now.
  void NoteGap(base::Instant now);
  // Adds what a predecessor knew `age` ago. No registration between then and
  // the start of this history may be missing from it.
  void Extend(const std::map<base::ServiceId, ServiceVersions>& earlier,
              base::Duration age,
              base::Instant now);

  // Returns whether the service has had another version within `time`, or may
  // have had.
  bool MayHaveOther(const base::ServiceId& service,
                    const std::string& version,
                    base::Duration time,
                    base::Instant now) const;
  // The same of two versions.
  bool MayHaveSeveral(const base::ServiceId& service,
                      base::Duration time,
                      base::Instant now) const;
  // Returns what a successor needs to know of the last `time`.
  std::map<base::ServiceId, ServiceVersions> Recent(base::Duration time,
                                                    base::Instant now) const;

 private:
  struct Service {
    // All versions since then are known.
    base::Instant known_since;
    // When a backend server of each version was last registered.
    std::map<std::string, base::Instant> last_seen;
  };

  std::map<base::ServiceId, Service> services;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_VERSION_HISTORY_H_
