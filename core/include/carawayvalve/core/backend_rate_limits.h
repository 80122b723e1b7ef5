#ifndef CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_
#define CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/request_pacer.h"

namespace carawayvalve::core {

// The backend server takes requests at any rate.
struct NoRateLimit {
  bool operator==(const NoRateLimit&) const = default;
};

// The backend server takes this many requests a second from all processes
// together.
struct RateLimit {
  double per_second = 0;

  bool operator==(const RateLimit&) const = default;
};

// What an answer of a backend server says about the rate of its requests.
using RateStatement = std::variant<NoRateLimit, RateLimit>;

// Returns the requests a second that are sent to a backend server which says
// so; nothing for any number. A backend server that takes next to nothing gets
// some nevertheless: only an answer can withdraw a limit.
std::optional<double> RateToKeep(const RateStatement& statement);

// What one run of a backend server has said.
struct BackendRateStatement {
  base::BackendServerId id;
  // The start of that run in Unix milliseconds.
  int64_t started_ms = 0;
  RateStatement statement;
  // When the answer arrived that says so, and when its request was sent.
  base::Instant stated;
  base::Instant asked;
  // A peer has told it.
  bool from_peer = false;

  bool operator==(const BackendRateStatement&) const = default;
};

// The processes that share the limits of the backend servers.
struct RateSharers {
  base::HostId self;
  // This process and the others that were heard lately.
  std::vector<base::HostId> live;
  // The number of known processes, live or not; 0 until all are known.
  int64_t known = 0;

  bool operator==(const RateSharers&) const = default;
};

// Keeps the requests of all processes to a backend server within the rate that
// it has named. A limit holds until the same run says in a later answer that
// there is none.
//
// A limit is divided evenly among as many processes as it allows requests a
// second, which are chosen by rendezvous hashing; the others send nothing
// there. Shares of less than one request a second would allow a burst above the
// limit when many processes have been idle. Unless the limit has been confirmed
// lately, the others try one after another whether it still holds.
class BackendRateLimits {
 public:
  // Sets the processes that share the limits.
  void SetSharers(const RateSharers& sharers, base::Instant now);

  // Records a statement unless a newer one, or one of a later run, is known. An
  // answer withdraws a limit only if its request was sent after the limit was
  // stated last: answers may overtake each other. Returns whether the limit has
  // been set, withdrawn or changed much.
  bool NoteStatement(const BackendRateStatement& statement, base::Instant now);

  // Records that this process sends a request to the backend server.
  void NoteSent(const base::BackendServerId& id, base::Instant now);

  // Returns whether this process may send a request to this run of the backend
  // server.
  bool MaySend(const base::BackendServerId& id,
               int64_t started_ms,
               base::Instant now) const;

  // Returns this process's part of a limit in requests a second, 0 for none;
  // nothing if the backend server has no limit.
  std::optional<double> ShareOf(const base::BackendServerId& id) const;
  // Returns the number of backend servers that limit their requests.
  int64_t limited_count() const;

  // Returns the newest statements, where answers to this process made them:
  // limits, and withdrawals of the last seconds.
  std::vector<BackendRateStatement> OwnStatements(base::Instant now) const;
  // Returns those of them that NoteStatement returned as news since then.
  std::vector<BackendRateStatement> OwnNews(base::Instant since,
                                            base::Instant now) const;

  // Drops what is known of a backend server, as it is gone.
  void Forget(const base::BackendServerId& id) { this->records.erase(id); }

 private:
  struct Record {
    RequestPacer pacer;
    std::optional<BackendRateStatement> stated;
    // The limit when it was last returned as news; 0 for none.
    double announced = 0;
    base::Instant announced_at;
    // This process's position among those that may use the limit.
    int64_t rank = 0;
    // When a process without a share last sent a request.
    base::Instant tried;
  };

  static std::optional<double> LimitOf(const Record& record);
  int64_t SharerCount(double limit) const;
  // Sets the pacer to this process's part.
  void ApplyShare(const base::BackendServerId& id,
                  Record& record,
                  base::Instant now) const;

  RateSharers sharers;
  std::unordered_map<base::BackendServerId, Record> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_RATE_LIMITS_H_
