#include "carawayvalve/core/prefix_index.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <memory>

namespace carawayvalve::core {

namespace {

constexpr size_t kBytesPerPiece = kTokensPerPiece * kBytesPerToken;
constexpr size_t kHashDigits = 16;

struct FreeHashState {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

}  // namespace

int64_t CountTokens(const std::string& text) {
  return (static_cast<int64_t>(text.size()) + kBytesPerToken - 1) /
         kBytesPerToken;
}

std::vector<PrefixHash> PrefixHashes(const std::string& prompt) {
  const std::unique_ptr<XXH3_state_t, FreeHashState> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  std::vector<PrefixHash> hashes(prompt.size() / kBytesPerPiece);
  for (size_t i = 0; i < hashes.size(); ++i) {
    XXH3_64bits_update(state.get(), prompt.data() + i * kBytesPerPiece,
                       kBytesPerPiece);
    hashes[i] = XXH3_64bits_digest(state.get());
  }
  return hashes;
}

std::optional<PrefixHash> ParsePrefixHash(const std::string& text) {
  constexpr int kHexadecimal = 16;
  const char* const end = text.data() + text.size();
  PrefixHash hash = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), end, hash, kHexadecimal);
  if (text.size() != kHashDigits || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return hash;
}

PrefixIndex::PrefixIndex(const Settings& settings) : settings(settings) {}

void PrefixIndex::Add(const base::BackendServerId& backend_server,
                      PrefixHash hash,
                      base::Instant now) {
  this->Drop(backend_server, hash);
  this->entries.push_back(
      {hash, backend_server, now, this->GapsOf(backend_server)});
  this->holders[hash][backend_server] = std::prev(this->entries.end());
  if (this->entries.size() > this->settings.max_entries) {
    this->Erase(this->entries.begin());
  }
}

void PrefixIndex::Drop(const base::BackendServerId& backend_server,
                       PrefixHash hash) {
  const auto found = this->holders.find(hash);
  if (found == this->holders.end()) {
    return;
  }
  const auto holder = found->second.find(backend_server);
  if (holder != found->second.end()) {
    this->Erase(holder->second);
  }
}

void PrefixIndex::NoteGap(const base::BackendServerId& backend_server) {
  this->gaps[backend_server] += this->settings.gap_age;
}

void PrefixIndex::Forget(const base::BackendServerId& backend_server) {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const auto present = entry++;
    if (present->backend_server == backend_server) {
      this->Erase(present);
    }
  }
  this->gaps.erase(backend_server);
}

void PrefixIndex::Prune(base::Instant now) {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const auto present = entry++;
    if (this->Confidence(*present, now) <= 0) {
      this->Erase(present);
    }
  }
}

std::map<base::BackendServerId, int64_t> PrefixIndex::CachedTokens(
    const std::vector<PrefixHash>& hashes,
    base::Instant now) const {
  std::map<base::BackendServerId, int64_t> tokens;
  // Confidence that all pieces up to the current one are cached.
  std::map<base::BackendServerId, double> prefix_confidence;
  for (size_t i = 0; i < hashes.size(); ++i) {
    const auto found = this->holders.find(hashes[i]);
    if (found == this->holders.end()) {
      break;
    }
    std::map<base::BackendServerId, double> extended_confidence;
    for (const auto& [backend_server, entry] : found->second) {
      const auto before = prefix_confidence.find(backend_server);
      if (i > 0 && before == prefix_confidence.end()) {
        continue;
      }
      const double confidence =
          std::min(this->Confidence(*entry, now), i > 0 ? before->second : 1.0);
      if (confidence > 0) {
        extended_confidence[backend_server] = confidence;
        tokens[backend_server] +=
            static_cast<int64_t>(confidence * kTokensPerPiece);
      }
    }
    prefix_confidence.swap(extended_confidence);
  }
  return tokens;
}

void PrefixIndex::Erase(Entries::iterator entry) {
  const auto found = this->holders.find(entry->hash);
  found->second.erase(entry->backend_server);
  if (found->second.empty()) {
    this->holders.erase(found);
  }
  this->entries.erase(entry);
}

base::Duration PrefixIndex::GapsOf(
    const base::BackendServerId& backend_server) const {
  const auto found = this->gaps.find(backend_server);
  return found == this->gaps.end() ? base::Duration{} : found->second;
}

double PrefixIndex::Confidence(const Entry& entry, base::Instant now) const {
  const base::Duration age = now - entry.confirmed +
                             this->GapsOf(entry.backend_server) -
                             entry.gaps_before;
  const double used_lifetime =
      static_cast<double>(age.count()) /
      static_cast<double>(this->settings.lifetime.count());
  return std::clamp(1.0 - used_lifetime, 0.0, 1.0);
}

}  // namespace carawayvalve::core
