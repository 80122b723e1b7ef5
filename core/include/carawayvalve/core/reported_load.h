#ifndef CARAWAYVALVE_CORE_REPORTED_LOAD_H_
#define CARAWAYVALVE_CORE_REPORTED_LOAD_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// What a backend server says of its own load with an answer. A figure that it
// doesn't give, or that can't be read, is absent.
struct LoadStatement {
  std::optional<int64_t> running;
  std::optional<int64_t> waiting;
  std::optional<int64_t> slots;
  // How many times longer than usual work takes there at this moment.
  std::optional<double> slowness;

  bool operator==(const LoadStatement&) const = default;
};

// Keeps what each backend server has said of its own speed, and how far its
// answers have borne that out. A statement takes effect at once, loses half of
// its effect with each half-life, and counts no more than answers show it to be
// true.
class ReportedLoad {
 public:
  struct Settings {
    // The time in which the effect of a statement halves. Also limits how fast
    // load returns to a backend server that says it is fast again.
    base::Duration half_life = std::chrono::milliseconds(300);
    // Statements that are older have no effect.
    base::Duration max_age = std::chrono::milliseconds(1500);
    // Weight, from 0 to 1, of an answer that shows a statement to be true.
    // Answers that don't lower the trust at once.
    double newest_weight = 0.5;

    bool operator==(const Settings&) const = default;
  };

  ReportedLoad() : ReportedLoad(Settings{}) {}
  explicit ReportedLoad(const Settings& settings) : settings(settings) {}

  // Records what an answer that was received `now` says.
  void NoteStatement(const base::BackendServerId& id,
                     const LoadStatement& statement,
                     base::Instant now);
  // Records that the first token or the answer took `observed`; `expected` is
  // the time at the usual speed.
  void NoteAnswer(const base::BackendServerId& id,
                  base::Duration observed,
                  base::Duration expected,
                  base::Instant now);
  // Drops all that is recorded of a backend server, as it has restarted.
  void Forget(const base::BackendServerId& id);

  // Returns how many times longer than usual work takes at the backend server
  // by its own words, as far as they are trusted; at least 1.
  double Slowness(const base::BackendServerId& id, base::Instant now) const;
  // Returns how far the words of the backend server are trusted, from 0 to 1.
  double Trust(const base::BackendServerId& id) const;
  // Returns the newest statement with its age, if there is any.
  struct Aged {
    LoadStatement statement;
    base::Duration age{};
  };
  std::optional<Aged> Newest(const base::BackendServerId& id,
                             base::Instant now) const;

 private:
  struct Record {
    LoadStatement newest;
    base::Instant stated;
    // How much slower than usual the backend server has said to be: 0 is usual.
    double excess = 0;
    base::Instant excess_at;
    double trust = 1;
  };

  double Excess(const Record& record, base::Instant now) const;

  Settings settings;
  std::unordered_map<base::BackendServerId, Record> records;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_REPORTED_LOAD_H_
