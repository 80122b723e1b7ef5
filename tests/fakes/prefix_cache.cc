#include "prefix_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "generated_text.h"

namespace carawayvalve::fakes {

namespace {

constexpr size_t kPieceBytes = kPieceTokens * kBytesPerToken;
// Readers that fall further behind get a gap.
constexpr size_t kMaxEvents = 4096;

std::string Hexadecimal(uint64_t hash) {
  std::array<char, 17> text = {};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
  return text.data();
}

}  // namespace

std::vector<std::string> HashPieces(const std::string& prompt) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  std::vector<std::string> pieces;
  for (size_t at = 0; at + kPieceBytes <= prompt.size(); at += kPieceBytes) {
    XXH3_64bits_update(state.get(), prompt.data() + at, kPieceBytes);
    pieces.push_back(Hexadecimal(XXH3_64bits_digest(state.get())));
  }
  return pieces;
}

size_t PrefixCache::CountHeld(const std::vector<std::string>& pieces) const {
  const auto missing = std::find_if(
      pieces.begin(), pieces.end(),
      [this](const std::string& piece) { return !this->held.contains(piece); });
  return static_cast<size_t>(missing - pieces.begin());
}

void PrefixCache::Use(const std::vector<std::string>& pieces) {
  const size_t count = std::min(pieces.size(), this->capacity);
  // Uses the last piece first, so that a prefix is evicted after its
  // extensions.
  for (size_t i = count; i > 0; --i) {
    const std::string& piece = pieces[i - 1];
    const auto found = this->held.find(piece);
    if (found != this->held.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      continue;
    }
    this->order.push_front(piece);
    this->held[piece] = this->order.begin();
    this->RecordEvent(piece, true);
  }
  while (this->order.size() > this->capacity) {
    this->EvictOldest();
  }
}

void PrefixCache::EvictOldest() {
  const std::string piece = this->order.back();
  this->order.pop_back();
  this->held.erase(piece);
  this->RecordEvent(piece, false);
}

void PrefixCache::RecordEvent(const std::string& piece, bool added) {
  this->events.push_back({piece, added});
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
    this->first_event += 1;
  }
}

nlohmann::json PrefixCache::Events(int64_t from) const {
  const int64_t next =
      this->first_event + static_cast<int64_t>(this->events.size());
  const bool gap = from < this->first_event || from > next;
  const int64_t start = gap ? this->first_event : from;
  // Only the last event of each piece is reported.
  std::map<std::string, bool> pieces;
  for (int64_t number = start; number < next; ++number) {
    const Event& event =
        this->events[static_cast<size_t>(number - this->first_event)];
    pieces[event.piece] = event.added;
  }
  nlohmann::json answer = {{"next", next},
                           {"gap", gap},
                           {"added", nlohmann::json::array()},
                           {"dropped", nlohmann::json::array()}};
  for (const auto& [piece, added] : pieces) {
    answer[added ? "added" : "dropped"].push_back(piece);
  }
  return answer;
}

}  // namespace carawayvalve::fakes
