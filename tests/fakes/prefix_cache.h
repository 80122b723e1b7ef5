#ifndef CARAWAYVALVE_TESTS_FAKES_PREFIX_CACHE_H_
#define CARAWAYVALVE_TESTS_FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayvalve::fakes {

constexpr int64_t kPieceTokens = 2048;

// Returns the hash of the prompt up to the end of each whole piece.
std::vector<std::string> HashPieces(const std::string& prompt);

// The engine's cache of prompt prefixes, least recently used out first. Not
// thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity(capacity) {}

  // Returns how many leading pieces are held.
  size_t CountHeld(const std::vector<std::string>& pieces) const;
  // Adds the pieces or marks them as just used.
  void Use(const std::vector<std::string>& pieces);

  // Returns what /cache-events answers for the events from number `from` on.
  nlohmann::json Events(int64_t from) const;

 private:
  struct Event {
    std::string piece;
    bool added = false;
  };

  void RecordEvent(const std::string& piece, bool added);
  void EvictOldest();

  size_t capacity;
  // The most recently used piece first.
  std::list<std::string> order;
  std::unordered_map<std::string, std::list<std::string>::iterator> held;
  std::deque<Event> events;
  int64_t first_event = 0;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_PREFIX_CACHE_H_
