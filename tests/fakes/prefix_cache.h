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

// Tokens in one piece, the unit in which prompts are cached.
constexpr int64_t kPieceTokens = 2048;

// Returns, for each complete piece, the hash of the prompt up to its end.
std::vector<std::string> HashPieces(const std::string& prompt);

// The simulated engine's LRU cache of prompt prefixes. Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity(capacity) {}

  // Returns how many leading pieces are cached.
  size_t CountHeld(const std::vector<std::string>& pieces) const;
  // Adds the pieces or marks them as most recently used.
  void Use(const std::vector<std::string>& pieces);

  // Returns the answer to /cache-events for events from number `from` on.
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
