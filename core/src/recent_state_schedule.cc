#include "carawayvalve/core/recent_state_schedule.h"

#include <algorithm>
#include <iterator>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

// The size of a record beyond that of its texts, in any encoding.
constexpr size_t kRecordBytes = 64;

size_t BytesOf(const StreamOrigin& origin) {
  return kRecordBytes + origin.first.value.size() +
         origin.software_version.size() + origin.content.size();
}

size_t BytesOf(const WindowCountsPart& part) {
  size_t bytes = kRecordBytes + part.source.value.size();
  for (const auto& [account, count] : part.counts) {
    bytes += kRecordBytes / 2 + account.value.size();
  }
  return bytes;
}

// Drops counts until the part takes no more bytes than that. Returns whether
// none was dropped.
bool Shorten(WindowCountsPart& part, size_t max_bytes) {
  const size_t before = part.counts.size();
  while (!part.counts.empty() && BytesOf(part) > max_bytes) {
    part.counts.erase(std::prev(part.counts.end()));
  }
  return part.counts.size() == before;
}

size_t BytesOf(const std::map<base::ServiceId, ServiceVersions>& versions) {
  size_t bytes = 0;
  for (const auto& [service, known] : versions) {
    bytes += kRecordBytes + service.value.size();
    for (const auto& [version, age] : known.ages) {
      bytes += kRecordBytes + version.size();
    }
  }
  return bytes;
}

}  // namespace

RecentStateSchedule::RecentStateSchedule(const Settings& settings,
                                         std::string duty,
                                         base::HostId self,
                                         base::Instant now)
    : settings(settings),
      duty(std::move(duty)),
      self(std::move(self)),
      preferred(this->self),
      started(now) {}

void RecentStateSchedule::SetLive(const std::vector<base::HostId>& live) {
  this->preferred = PreferredHolder(this->duty, live).value_or(this->self);
}

void RecentStateSchedule::NoteOrigin(const StreamOrigin& origin,
                                     base::Instant now) {
  this->ForgetOld(now);
  if (origin.first.value.size() > kMaxStreamIdBytes ||
      !this->known.try_emplace(origin.first, now).second) {
    return;
  }
  this->known_order.emplace_back(now, origin.first);
  this->untold.push_back({origin, now, this->settings.tells});
  if (this->untold.size() > this->settings.max_pending) {
    this->untold.pop_front();
  }
}

void RecentStateSchedule::ForgetOld(base::Instant now) {
  while (!this->known_order.empty() &&
         now - this->known_order.front().first >= this->Lap()) {
    this->known.erase(this->known_order.front().second);
    this->known_order.pop_front();
  }
}

std::vector<StreamOrigin> RecentStateSchedule::TakeForWriter(
    base::Instant now) {
  std::vector<StreamOrigin> told;
  if (this->preferred == this->self) {
    return told;
  }
  for (Pending& pending : this->untold) {
    if (told.size() >= this->settings.max_told) {
      break;
    }
    told.push_back(pending.origin);
    told.back().age += now - pending.noted;
    --pending.tells_left;
  }
  std::erase_if(this->untold,
                [](const Pending& pending) { return pending.tells_left <= 0; });
  return told;
}

base::Duration RecentStateSchedule::Interval(bool has_origins) const {
  constexpr int64_t kMaxDoublings = 8;
  const base::Duration interval =
      has_origins ? this->settings.interval : this->settings.counts_interval;
  return this->failures == 0
             ? interval
             : std::min(interval * (int64_t{1}
                                    << std::min(this->failures, kMaxDoublings)),
                        this->settings.max_retry_interval);
}

bool RecentStateSchedule::IsDue(base::Instant now) const {
  return this->IsWriter(now) && !this->in_flight.has_value() &&
         (!this->called_at.has_value() ||
          now - *this->called_at >= this->Interval(!this->untold.empty()));
}

std::optional<StoreRecentState> RecentStateSchedule::Step(
    const Sources& sources,
    base::Instant now) {
  const int64_t slot =
      sources.wall_time / this->settings.interval % this->settings.slots;
  // The previous state is still needed.
  if (!this->IsDue(now) || slot == this->last_slot) {
    return std::nullopt;
  }
  size_t bytes_left = this->settings.max_bytes;
  StoreRecentState action;
  action.slot = slot;
  action.state.written = sources.wall_time;
  const size_t version_bytes = BytesOf(sources.versions);
  // Without the versions the origins and counts hold all the same.
  if (sources.registry_revision.revision > 0 &&
      version_bytes < bytes_left / 2) {
    action.state.registry_revision = sources.registry_revision;
    action.state.versions = sources.versions;
    bytes_left -= version_bytes;
  }
  std::vector<Pending> origins = this->TakePending(bytes_left);
  std::vector<WindowCountsPart> counts = this->NewCounts(sources, bytes_left);
  if (origins.empty() && counts.empty()) {
    return std::nullopt;
  }
  for (const Pending& pending : origins) {
    action.state.origins.push_back(pending.origin);
    action.state.origins.back().age += now - pending.noted;
  }
  action.state.counts = counts;
  action.call = ++this->last_call;
  this->in_flight = action.call;
  this->sent_origins = std::move(origins);
  this->sent_counts = std::move(counts);
  this->called_at = now;
  this->last_slot = slot;
  return action;
}

std::vector<RecentStateSchedule::Pending> RecentStateSchedule::TakePending(
    size_t& bytes_left) {
  std::vector<Pending> taken;
  while (!this->untold.empty() &&
         BytesOf(this->untold.front().origin) <= bytes_left) {
    bytes_left -= BytesOf(this->untold.front().origin);
    taken.push_back(std::move(this->untold.front()));
    this->untold.pop_front();
  }
  return taken;
}

std::optional<WindowCountsPart> RecentStateSchedule::NewCountsOf(
    const WindowCountsPart& part) const {
  const auto stored = this->stored_counts.find({part.window, part.source});
  if (stored == this->stored_counts.end()) {
    return part;
  }
  WindowCountsPart fresh{part.window, part.source, {}};
  for (const auto& [account, count] : part.counts) {
    const auto known = stored->second.find(account);
    if (known == stored->second.end() || known->second < count) {
      fresh.counts[account] = count;
    }
  }
  return fresh.counts.empty() ? std::nullopt : std::optional(std::move(fresh));
}

std::vector<WindowCountsPart> RecentStateSchedule::NewCounts(
    const Sources& sources,
    size_t& bytes_left) {
  std::erase_if(this->stored_counts, [&](const auto& stored) {
    return stored.first.first < sources.first_window;
  });
  std::vector<WindowCountsPart> parts =
      sources.counts.Parts(sources.first_window);
  const auto next =
      std::find_if(parts.begin(), parts.end(), [&](const auto& part) {
        return CountKey(part.window, part.source) > this->last_count;
      });
  std::rotate(parts.begin(), next, parts.end());
  std::vector<WindowCountsPart> fresh;
  for (const WindowCountsPart& part : parts) {
    auto changed = this->NewCountsOf(part);
    if (!changed.has_value()) {
      continue;
    }
    const bool is_whole = Shorten(*changed, bytes_left);
    if (!changed->counts.empty()) {
      bytes_left -= BytesOf(*changed);
      fresh.push_back(std::move(*changed));
    }
    if (!is_whole) {
      break;
    }
    this->last_count = {part.window, part.source};
  }
  return fresh;
}

void RecentStateSchedule::NoteStored(int64_t call) {
  if (this->in_flight != call) {
    return;
  }
  this->in_flight.reset();
  this->failures = 0;
  this->sent_origins.clear();
  for (const WindowCountsPart& part : this->sent_counts) {
    AccountCounts& stored = this->stored_counts[{part.window, part.source}];
    for (const auto& [account, count] : part.counts) {
      stored[account] = std::max(stored[account], count);
    }
  }
  this->sent_counts.clear();
}

void RecentStateSchedule::NoteFailed(int64_t call) {
  if (this->in_flight != call) {
    return;
  }
  this->in_flight.reset();
  ++this->failures;
  this->untold.insert(this->untold.begin(), this->sent_origins.begin(),
                      this->sent_origins.end());
  this->sent_origins.clear();
  this->sent_counts.clear();
}

}  // namespace carawayvalve::core
