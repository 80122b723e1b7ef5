#include "carawayvalve/core/stream_origins.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

// Callers take a stream up within the time that they wait for an answer, some
// seconds.
constexpr std::chrono::seconds kRetention(60);
// Bounds the memory; the oldest are forgotten first.
constexpr size_t kMaxRecords = 65536;
constexpr size_t kDigestDigits = 16;

}  // namespace

std::string StreamContentDigest(const base::ClientAccountId& account,
                                const std::string& target,
                                const std::string& body,
                                const std::optional<Prompt>& prompt) {
  // The lengths separate the texts.
  std::string content;
  const auto add = [&](const std::string& text) {
    content += std::to_string(text.size()) + ":" + text;
  };
  add(account.value);
  add(target);
  if (prompt.has_value()) {
    add(prompt->model.value);
    for (const PromptPart& part : prompt->parts) {
      add(part.id);
    }
  }
  content += body;
  std::array<char, kDigestDigits + 1> digest{};
  std::snprintf(digest.data(), digest.size(), "%016" PRIx64,
                base::StableHash(content));
  return digest.data();
}

base::RequestId StreamIdOf(const base::RequestId& first) {
  return first.value.size() <= kMaxStreamIdBytes
             ? first
             : base::RequestId{"#" +
                               std::to_string(base::StableHash(first.value))};
}

bool StreamOrigins::Note(const StreamOrigin& origin, base::Instant now) {
  if (origin.first.value.size() > kMaxStreamIdBytes) {
    return false;
  }
  const base::Instant noted =
      now - std::clamp<base::Duration>(origin.age, base::Duration(0),
                                       base::Duration(kRetention));
  const auto [found, is_new] = this->records.try_emplace(
      origin.first, Record{origin.software_version, origin.content, noted,
                           origin.is_from_store});
  if (!is_new && found->second.noted >= noted) {
    return false;
  }
  if (is_new && !origin.content.empty()) {
    this->by_content[origin.content].insert(origin.first);
  }
  found->second.noted = noted;
  this->order.emplace_back(noted, origin.first);
  this->Prune(now);
  return is_new;
}

std::optional<std::string> StreamOrigins::Find(
    const base::RequestId& first) const {
  const auto found = this->records.find(first);
  return found == this->records.end()
             ? std::nullopt
             : std::optional(found->second.software_version);
}

std::set<std::string> StreamOrigins::VersionsOf(
    const std::string& content) const {
  std::set<std::string> versions;
  const auto found = this->by_content.find(content);
  if (found != this->by_content.end()) {
    for (const base::RequestId& first : found->second) {
      versions.insert(this->records.at(first).software_version);
    }
  }
  return versions;
}

bool StreamOrigins::IsFromStore(const base::RequestId& first,
                                const std::string& content) const {
  const auto is_stored = [&](const base::RequestId& id) {
    const auto found = this->records.find(id);
    return found != this->records.end() && found->second.is_from_store;
  };
  const auto same = this->by_content.find(content);
  return first.empty() ? same != this->by_content.end() &&
                             std::any_of(same->second.begin(),
                                         same->second.end(), is_stored)
                       : is_stored(first);
}

std::vector<StreamOrigin> StreamOrigins::WithContent(const std::string& content,
                                                     base::Instant now) const {
  std::vector<StreamOrigin> origins;
  const auto found = this->by_content.find(content);
  if (found != this->by_content.end()) {
    for (const base::RequestId& first : found->second) {
      const Record& record = this->records.at(first);
      origins.push_back(
          {first, record.software_version, now - record.noted, content});
    }
  }
  return origins;
}

std::vector<StreamOrigin> StreamOrigins::Recent(base::Duration max_age,
                                                size_t max_count,
                                                base::Instant now) const {
  std::vector<StreamOrigin> recent;
  for (auto entry = this->order.rbegin();
       entry != this->order.rend() && recent.size() < max_count; ++entry) {
    const auto found = this->records.find(entry->second);
    if (now - entry->first <= max_age && found != this->records.end() &&
        found->second.noted == entry->first) {
      recent.push_back({entry->second, found->second.software_version,
                        now - entry->first, found->second.content});
    }
  }
  return recent;
}

void StreamOrigins::Erase(Records::iterator record) {
  const auto same = this->by_content.find(record->second.content);
  if (same != this->by_content.end()) {
    same->second.erase(record->first);
    if (same->second.empty()) {
      this->by_content.erase(same);
    }
  }
  this->records.erase(record);
}

void StreamOrigins::Prune(base::Instant now) {
  while (!this->order.empty() &&
         (now - this->order.front().first > kRetention ||
          this->order.size() > kMaxRecords)) {
    const auto found = this->records.find(this->order.front().second);
    if (found != this->records.end() &&
        found->second.noted == this->order.front().first) {
      this->Erase(found);
    }
    this->order.pop_front();
  }
}

std::vector<base::HostId> OriginKeepers(const base::RequestId& first,
                                        const std::vector<base::HostId>& live,
                                        size_t count) {
  std::vector<base::HostId> keepers =
      RankHolders("stream/" + first.value, live);
  keepers.resize(std::min(keepers.size(), count));
  return keepers;
}

}  // namespace carawayvalve::core
