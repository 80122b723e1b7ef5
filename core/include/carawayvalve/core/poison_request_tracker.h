#ifndef CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_
#define CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/poison_parts.h"

namespace carawayvalve::core {

// Returns the SHA-256 digest that identifies a request's content. It is the
// same when an account sends the content again, and differs between accounts.
std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body);

// The content of a request, as far as crashes are traced to it.
struct RequestContent {
  // See ContentDigest.
  std::string digest;
  // The parts that requests with another content may share, in order.
  std::vector<std::string> parts;

  bool operator==(const RequestContent&) const = default;
};

// Records that a content was running when a backend server crashed.
struct CrashRecord {
  std::string content_digest;
  // Identifies the crash; the same in all processes.
  std::string death_id;
  // Time since the crash when the record was copied.
  base::Duration age{};
  // The content's parts, each of which may be the cause; empty if none can be.
  std::vector<std::string> parts;

  bool operator==(const CrashRecord&) const = default;
};

// A part of contents that were running when backend servers crashed, and that
// has been answered completely; or such a content, see PartOfContent.
struct ServedPart {
  std::string part;
  // Time since the last complete answer when this was copied.
  base::Duration age{};

  bool operator==(const ServedPart&) const = default;
};

// Returns what stands for a whole content among parts. No part of a prompt is
// called so: callers name these in header fields, which hold no line feed.
std::string PartOfContent(const std::string& content_digest);

// A part that is blamed for crashes.
struct BlamedPart {
  std::string part;
  size_t crashes = 0;
  // Time since the last crash when this was copied.
  base::Duration age{};

  bool operator==(const BlamedPart&) const = default;
};

// What a process knows of crashes, as of one moment.
struct CrashState {
  std::vector<CrashRecord> crashes;
  std::vector<ServedPart> served;
  std::vector<BlamedPart> blamed;

  bool operator==(const CrashState&) const = default;
};

enum class ContentAdmission {
  kAdmitted,
  // The content, or one of its parts, is suspected, and a trial is due.
  kOnTrial,
  kQuarantined,
};

// Tracks contents that were running when backend servers crashed, and
// quarantines poison requests: one crash may be chance, after two the content
// is refused for a while. A poison request is never answered, so that an answer
// clears the content of the crashes before. Crashes at the same time may have
// one cause outside of the request; one request at a time is tried then.
// Contents that are never the same twice are quarantined by a part that they
// share (see FindPoisonParts). Records of other processes can be merged in any
// order and any number of times; only the choice of evicted records may then
// differ.
class PoisonRequestTracker {
 public:
  struct Settings {
    // How long a crash counts.
    base::Duration time_to_live = std::chrono::minutes(10);
    // Beyond this number the oldest records are evicted.
    size_t max_records = 4096;
    // Beyond this number the parts that were served longest ago are forgotten.
    size_t max_served_parts = 4096;
    // Time from the last crash of a poison part until one request with it is
    // tried, to find out whether it still crashes backend servers. It grows by
    // `trial_factor` with each further crash.
    base::Duration first_trial = std::chrono::seconds(30);
    int64_t trial_factor = 4;
    // The same for a content all of whose crashes were at the same time, and
    // until the next trial; 0 for no trials of contents.
    base::Duration content_trial{};

    bool operator==(const Settings&) const = default;
  };

  explicit PoisonRequestTracker(const Settings& settings);

  // Records that a backend server crashed while it ran the content.
  void NoteCrash(const RequestContent& content,
                 const std::string& death_id,
                 base::Instant now);

  // Records that a request with these parts was answered completely.
  void NoteServed(const std::vector<std::string>& parts, base::Instant now);

  // Records that a request with this content was answered completely. Returns
  // whether that clears it of several crashes.
  bool NoteAnswered(const std::string& content_digest, base::Instant now);

  // Returns the number of distinct crashes that still count.
  int CountCrashes(const std::string& content_digest, base::Instant now) const;

  // Returns for how long the content is still refused, nothing if it isn't.
  std::optional<base::Duration> QuarantineLeft(const RequestContent& content,
                                               base::Instant now) const;

  // Records that a request with these parts has arrived. To be called once for
  // each request.
  void NoteRequest(const std::vector<std::string>& parts) {
    this->traffic.NoteRequest(parts);
  }

  // Sets the number of processes that share the traffic and their records.
  void SetProcessCount(int64_t count) { this->traffic.SetProcessCount(count); }

  // Decides whether the content may be sent to a backend server now. A trial is
  // counted by this call. `may_try` returns whether this process makes the
  // trials of a part, so that one is made among all processes.
  using MayTry = std::function<bool(const std::string& part)>;
  ContentAdmission Admit(const RequestContent& content,
                         base::Instant now,
                         const MayTry& may_try);

  // Records that another process blames a part: it may know more of the
  // traffic.
  void MergePoisonPart(const std::string& part, const PoisonPart& poison);
  // Returns the parts that this process blames by its own records.
  const std::map<std::string, PoisonPart>& own_poison_parts(
      base::Instant now) const;
  // Returns the parts that are quarantined.
  const std::map<std::string, PoisonPart>& poison_parts(
      base::Instant now) const;

  // Returns what still counts, for the successors of all processes.
  CrashState State(base::Instant now) const;
  // Merges what a process knew `age` ago.
  void Merge(const CrashState& state, base::Duration age, base::Instant now);
  // Returns a number that rises whenever State may have changed other than by
  // the passing of time.
  int64_t changes() const { return this->change_count; }

  // Returns the records that still count, to be sent to other processes.
  std::vector<CrashRecord> Records(base::Instant now) const;
  // Returns those of crashes that this process noticed itself within `max_age`.
  std::vector<CrashRecord> OwnRecords(base::Instant now,
                                      base::Duration max_age) const;
  void Merge(const std::vector<CrashRecord>& records, base::Instant now);

  // Returns the suspected parts that were served within `max_age`, or that were
  // served at all and came under suspicion within it; and the contents that
  // were cleared of several crashes within it.
  std::vector<ServedPart> ServedParts(base::Instant now,
                                      base::Duration max_age) const;
  void MergeServed(const std::vector<ServedPart>& parts, base::Instant now);

  // Removes old records. They are kept for another `time_to_live` after they
  // have expired: a copy looks younger by its time in transit, and would
  // otherwise circulate between processes for ever.
  void Prune(base::Instant now);

  size_t size() const { return this->crashes.size() + this->told.size(); }

 private:
  // Content digest and crash identifier.
  using Key = std::pair<std::string, std::string>;
  struct Crash {
    base::Instant at;
    std::vector<std::string> parts;
    // This process has noticed the crash itself.
    bool own = false;
    // The content was answered since.
    bool cleared = false;
  };

  void Add(const Key& key, const Crash& crash);
  void AddServed(const std::string& part, base::Instant at);
  void DropOldestServed();
  bool Counts(base::Instant crashed_at, base::Instant now) const;
  // Returns when the crashes were that count against the content, the newest
  // first.
  std::vector<base::Instant> CrashTimes(const std::string& content_digest,
                                        base::Instant now) const;
  std::optional<base::Duration> DigestQuarantineLeft(
      const std::string& content_digest,
      base::Instant now) const;
  ContentAdmission AdmitSuspect(const std::string& content_digest,
                                const std::vector<base::Instant>& crash_times,
                                base::Instant now,
                                const MayTry& may_try);
  // Has the answer of a content told to others if they may refuse it.
  void TellAnswer(const std::string& content_digest);
  void AddToldAnswers(std::vector<ServedPart>& parts,
                      base::Instant now,
                      base::Duration max_age) const;
  base::Instant TrialDueAt(const std::string& part,
                           const PoisonPart& poison) const;

  Settings settings;
  std::map<Key, Crash> crashes;
  PartTraffic traffic;
  // The parts that other processes blame.
  std::map<std::string, PoisonPart> told;
  // When each part was last served.
  std::map<std::string, base::Instant> served;
  // When each content was answered that has crashes: the first time after the
  // newest of them.
  std::map<std::string, base::Instant> answers;
  // Of these, the contents with several crashes, which others may refuse.
  std::set<std::string> told_answers;
  // When each part came under suspicion, by the newest of its crashes.
  std::map<std::string, base::Instant> suspected;
  // The last trial of each part, or of a content by PartOfContent.
  std::map<std::string, base::Instant> trials;
  mutable int64_t change_count = 0;
  // The result of the last search for poison parts; out of date if absent.
  mutable std::optional<std::map<std::string, PoisonPart>> found;
  // The same with the parts that other processes blame.
  mutable std::map<std::string, PoisonPart> quarantined;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_POISON_REQUEST_TRACKER_H_
