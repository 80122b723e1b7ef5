#include "carawayvalve/core/poison_request_tracker.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace carawayvalve::core {

namespace {

constexpr size_t kCrashesToQuarantine = 2;
// Copies of the time of one crash differ by less: by their time in transit.
constexpr std::chrono::seconds kCopyTime(1);
// Crashes within this time may have one cause outside of the request.
constexpr base::Milliseconds kSameTime(100);
constexpr char kContentMark[] = "\ncontent:";

}  // namespace

std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body) {
  // The length prefix separates the account from the body.
  return base::Sha256(std::to_string(account.value.size()) + ":" +
                      account.value + body);
}

std::string PartOfContent(const std::string& content_digest) {
  return kContentMark + content_digest;
}

PoisonRequestTracker::PoisonRequestTracker(const Settings& settings)
    : settings(settings) {}

void PoisonRequestTracker::NoteCrash(const RequestContent& content,
                                     const std::string& death_id,
                                     base::Instant now) {
  this->Add({content.digest, death_id}, {now, content.parts, true});
}

void PoisonRequestTracker::NoteServed(const std::vector<std::string>& parts,
                                      base::Instant now) {
  this->traffic.NoteAnswer(parts, now);
  for (const std::string& part : parts) {
    this->AddServed(part, now);
  }
}

bool PoisonRequestTracker::NoteAnswered(const std::string& content_digest,
                                        base::Instant now) {
  size_t cleared = 0;
  for (auto crash = this->crashes.lower_bound({content_digest, ""});
       crash != this->crashes.end() && crash->first.first == content_digest;
       ++crash) {
    if (!crash->second.cleared && crash->second.at <= now) {
      crash->second.cleared = true;
      ++cleared;
    }
  }
  if (cleared > 0) {
    base::Instant& answer = this->answers[content_digest];
    answer = std::max(answer, now);
    this->TellAnswer(content_digest);
    ++this->change_count;
  }
  return cleared >= kCrashesToQuarantine;
}

std::vector<base::Instant> PoisonRequestTracker::CrashTimes(
    const std::string& content_digest,
    base::Instant now) const {
  std::vector<base::Instant> times;
  for (auto crash = this->crashes.lower_bound({content_digest, ""});
       crash != this->crashes.end() && crash->first.first == content_digest;
       ++crash) {
    if (!crash->second.cleared && this->Counts(crash->second.at, now)) {
      times.push_back(crash->second.at);
    }
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times;
}

int PoisonRequestTracker::CountCrashes(const std::string& content_digest,
                                       base::Instant now) const {
  return static_cast<int>(this->CrashTimes(content_digest, now).size());
}

std::optional<base::Duration> PoisonRequestTracker::DigestQuarantineLeft(
    const std::string& content_digest,
    base::Instant now) const {
  const auto crash_times = this->CrashTimes(content_digest, now);
  if (crash_times.size() < kCrashesToQuarantine) {
    return std::nullopt;
  }
  return crash_times[kCrashesToQuarantine - 1] + this->settings.time_to_live -
         now;
}

std::optional<base::Duration> PoisonRequestTracker::QuarantineLeft(
    const RequestContent& content,
    base::Instant now) const {
  if (const auto left = this->DigestQuarantineLeft(content.digest, now)) {
    return left;
  }
  const auto& poison = this->poison_parts(now);
  for (const std::string& part : content.parts) {
    const auto match = poison.find(part);
    if (match != poison.end()) {
      return match->second.last_crash + this->settings.time_to_live - now;
    }
  }
  return std::nullopt;
}

ContentAdmission PoisonRequestTracker::Admit(const RequestContent& content,
                                             base::Instant now,
                                             const MayTry& may_try) {
  const auto crash_times = this->CrashTimes(content.digest, now);
  if (crash_times.size() >= kCrashesToQuarantine) {
    return this->AdmitSuspect(content.digest, crash_times, now, may_try);
  }
  const auto& poison = this->poison_parts(now);
  const std::string* on_trial = nullptr;
  for (const std::string& part : content.parts) {
    const auto match = poison.find(part);
    if (match == poison.end()) {
      continue;
    }
    if (now < this->TrialDueAt(part, match->second) || !may_try(part)) {
      return ContentAdmission::kQuarantined;
    }
    on_trial = &part;
  }
  if (on_trial == nullptr) {
    return ContentAdmission::kAdmitted;
  }
  this->trials[*on_trial] = now;
  return ContentAdmission::kOnTrial;
}

ContentAdmission PoisonRequestTracker::AdmitSuspect(
    const std::string& content_digest,
    const std::vector<base::Instant>& crash_times,
    base::Instant now,
    const MayTry& may_try) {
  const std::string part = PartOfContent(content_digest);
  const auto trial = this->trials.find(part);
  const base::Instant last = trial == this->trials.end()
                                 ? crash_times.front()
                                 : std::max(crash_times.front(), trial->second);
  const bool may_be_chance =
      this->settings.content_trial > base::Duration(0) &&
      crash_times.front() - crash_times.back() < kSameTime;
  if (!may_be_chance || now < last + this->settings.content_trial ||
      !may_try(part)) {
    return ContentAdmission::kQuarantined;
  }
  this->trials[part] = now;
  return ContentAdmission::kOnTrial;
}

base::Instant PoisonRequestTracker::TrialDueAt(const std::string& part,
                                               const PoisonPart& poison) const {
  base::Duration wait = this->settings.first_trial;
  for (size_t crash = kCrashesToBlame;
       crash < poison.crashes && wait < this->settings.time_to_live; ++crash) {
    wait *= this->settings.trial_factor;
  }
  const auto trial = this->trials.find(part);
  return std::max(poison.last_crash, trial == this->trials.end()
                                         ? base::Instant()
                                         : trial->second) +
         wait;
}

const std::map<std::string, PoisonPart>& PoisonRequestTracker::own_poison_parts(
    base::Instant now) const {
  if (!this->found.has_value()) {
    std::vector<CrashEvidence> evidence;
    for (const auto& [key, crash] : this->crashes) {
      if (!crash.parts.empty() && this->Counts(crash.at, now)) {
        evidence.push_back({key.second, crash.at, crash.parts});
      }
    }
    this->found = FindPoisonParts(evidence, this->served, this->traffic, now);
    const auto before = std::exchange(this->quarantined, *this->found);
    for (const auto& [part, poison] : this->told) {
      const auto answer = this->served.find(part);
      const bool released =
          answer != this->served.end() && answer->second >= poison.last_crash;
      if (!released && this->Counts(poison.last_crash, now)) {
        this->quarantined.emplace(part, poison);
      }
    }
    this->change_count += this->quarantined == before ? 0 : 1;
  }
  return *this->found;
}

const std::map<std::string, PoisonPart>& PoisonRequestTracker::poison_parts(
    base::Instant now) const {
  this->own_poison_parts(now);
  return this->quarantined;
}

CrashState PoisonRequestTracker::State(base::Instant now) const {
  CrashState state;
  state.crashes = this->Records(now);
  state.served = this->ServedParts(now, this->settings.time_to_live);
  for (const auto& [part, poison] : this->poison_parts(now)) {
    state.blamed.push_back({part, poison.crashes, now - poison.last_crash});
  }
  return state;
}

void PoisonRequestTracker::Merge(const CrashState& state,
                                 base::Duration age,
                                 base::Instant now) {
  // What counts no more would be kept for another time to live.
  std::vector<CrashRecord> crashes = state.crashes;
  std::erase_if(crashes, [&](const CrashRecord& record) {
    return !this->Counts(now - record.age - age, now);
  });
  this->Merge(crashes, now - age);
  this->MergeServed(state.served, now - age);
  for (const BlamedPart& blamed : state.blamed) {
    this->MergePoisonPart(blamed.part,
                          {blamed.crashes, now - blamed.age - age});
  }
}

std::vector<CrashRecord> PoisonRequestTracker::Records(
    base::Instant now) const {
  std::vector<CrashRecord> records;
  for (const auto& [key, crash] : this->crashes) {
    // A part may be suspected although this content was answered.
    if (this->Counts(crash.at, now) &&
        (!crash.cleared || !crash.parts.empty())) {
      records.push_back({key.first, key.second, now - crash.at, crash.parts});
    }
  }
  return records;
}

std::vector<CrashRecord> PoisonRequestTracker::OwnRecords(
    base::Instant now,
    base::Duration max_age) const {
  std::vector<CrashRecord> records;
  for (const auto& [key, crash] : this->crashes) {
    if (crash.own && now - crash.at < max_age) {
      records.push_back({key.first, key.second, now - crash.at, crash.parts});
    }
  }
  return records;
}

void PoisonRequestTracker::Merge(const std::vector<CrashRecord>& records,
                                 base::Instant now) {
  for (const CrashRecord& record : records) {
    this->Add({record.content_digest, record.death_id},
              {now - record.age, record.parts, false});
  }
}

void PoisonRequestTracker::MergePoisonPart(const std::string& part,
                                           const PoisonPart& poison) {
  PoisonPart& known = this->told[part];
  if (poison.last_crash <= known.last_crash + kCopyTime) {
    return;
  }
  known = poison;
  base::Instant& suspicion = this->suspected[part];
  suspicion = std::max(suspicion, poison.last_crash);
  this->found.reset();
}

std::vector<ServedPart> PoisonRequestTracker::ServedParts(
    base::Instant now,
    base::Duration max_age) const {
  std::vector<ServedPart> parts;
  for (const auto& [part, suspected_at] : this->suspected) {
    const auto answer = this->served.find(part);
    if (answer != this->served.end() &&
        now - std::max(answer->second, suspected_at) < max_age) {
      parts.push_back({part, now - answer->second});
    }
  }
  this->AddToldAnswers(parts, now, max_age);
  return parts;
}

void PoisonRequestTracker::TellAnswer(const std::string& content_digest) {
  const auto first = this->crashes.lower_bound({content_digest, ""});
  if (first != this->crashes.end() && std::next(first) != this->crashes.end() &&
      std::next(first)->first.first == content_digest) {
    this->told_answers.insert(content_digest);
  }
}

void PoisonRequestTracker::AddToldAnswers(std::vector<ServedPart>& parts,
                                          base::Instant now,
                                          base::Duration max_age) const {
  for (const std::string& digest : this->told_answers) {
    base::Instant known = this->answers.at(digest);
    for (auto crash = this->crashes.lower_bound({digest, ""});
         crash != this->crashes.end() && crash->first.first == digest;
         ++crash) {
      known = std::max(known, crash->second.at);
    }
    if (now - known < max_age) {
      parts.push_back({PartOfContent(digest), now - this->answers.at(digest)});
    }
  }
}

void PoisonRequestTracker::MergeServed(const std::vector<ServedPart>& parts,
                                       base::Instant now) {
  for (const ServedPart& served_part : parts) {
    const base::Instant at = now - served_part.age;
    if (served_part.part.starts_with(kContentMark)) {
      this->NoteAnswered(served_part.part.substr(sizeof(kContentMark) - 1), at);
    } else {
      this->AddServed(served_part.part, at);
    }
  }
}

void PoisonRequestTracker::Prune(base::Instant now) {
  std::erase_if(this->crashes, [&](const auto& crash) {
    return now - crash.second.at >= 2 * this->settings.time_to_live;
  });
  const auto is_old = [&](const auto& item) {
    return now - item.second >= this->settings.time_to_live;
  };
  std::erase_if(this->served, is_old);
  std::erase_if(this->suspected, is_old);
  std::erase_if(this->trials, is_old);
  std::erase_if(this->answers, is_old);
  std::erase_if(this->told_answers, [&](const std::string& digest) {
    return !this->answers.contains(digest);
  });
  std::erase_if(this->told, [&](const auto& item) {
    return now - item.second.last_crash >= this->settings.time_to_live;
  });
  this->found.reset();
}

// Keeps the earlier time of two copies: time in transit makes a crash look
// later than it was. Of two copies with different parts, one may have been made
// by a process that doesn't know them.
void PoisonRequestTracker::Add(const Key& key, const Crash& crash) {
  const auto [place, added] = this->crashes.emplace(key, crash);
  Crash& kept = place->second;
  if (!added && crash.at >= kept.at && crash.parts <= kept.parts) {
    kept.own = kept.own || crash.own;
    return;
  }
  kept.at = std::min(kept.at, crash.at);
  const auto answer = this->answers.find(key.first);
  kept.cleared = kept.cleared ||
                 (answer != this->answers.end() && kept.at <= answer->second);
  if (answer != this->answers.end()) {
    this->TellAnswer(key.first);
  }
  ++this->change_count;
  kept.own = kept.own || crash.own;
  kept.parts = std::max(kept.parts, crash.parts);
  for (const std::string& part : kept.parts) {
    base::Instant& suspicion = this->suspected[part];
    suspicion = std::max(suspicion, kept.at);
  }
  this->found.reset();
  if (this->crashes.size() <= this->settings.max_records) {
    return;
  }
  this->crashes.erase(
      std::min_element(this->crashes.begin(), this->crashes.end(),
                       [](const auto& one, const auto& other) {
                         return std::pair(one.second.at, one.first) <
                                std::pair(other.second.at, other.first);
                       }));
}

void PoisonRequestTracker::AddServed(const std::string& part,
                                     base::Instant at) {
  base::Instant& last = this->served[part];
  if (at <= last) {
    return;
  }
  last = at;
  if (this->suspected.contains(part)) {
    this->found.reset();
  }
  if (this->served.size() > this->settings.max_served_parts) {
    this->DropOldestServed();
  }
}

// Drops half, so that the next addition doesn't have to search again.
void PoisonRequestTracker::DropOldestServed() {
  std::vector<base::Instant> times;
  times.reserve(this->served.size());
  for (const auto& [part, at] : this->served) {
    times.push_back(at);
  }
  const auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(this->served,
                [&](const auto& item) { return item.second < *middle; });
}

bool PoisonRequestTracker::Counts(base::Instant crashed_at,
                                  base::Instant now) const {
  return now - crashed_at < this->settings.time_to_live;
}

}  // namespace carawayvalve::core
