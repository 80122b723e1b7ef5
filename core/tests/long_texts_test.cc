// Guards against records that are bounded by their number alone, while others
// choose the length of each.
#include <doctest/doctest.h>

#include <cstdint>
#include <string>

#include "carawayvalve/base/process_memory.h"
#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve/core/prefix_cache_tracker.h"
#include "carawayvalve/core/stream_origins.h"

namespace carawayvalve::core {

namespace {

// A sixteenth of a gateway's 260 MB.
constexpr int64_t kMaxGrowth = int64_t{16} * 1024 * 1024;
// What a caller may send in one field.
constexpr size_t kLongText = size_t{14} * 1024;

std::string LongText(int number) {
  std::string text = std::to_string(number);
  text.resize(kLongText, 'x');
  return text;
}

}  // namespace

TEST_CASE("streams with long request ids are forgotten in time") {
  const int64_t before = base::ResidentBytes();
  StreamOrigins origins;
  const base::Instant now = base::Now();
  for (int i = 0; i < 6000; ++i) {
    origins.Note({StreamIdOf({LongText(i)}), "v1", {}, "content", false}, now);
    // As a peer may send it.
    origins.Note({{LongText(i)}, "v1", {}, "content", false}, now);
  }
  CHECK(origins.Find(StreamIdOf({LongText(1)})) == "v1");
  CHECK(base::ResidentBytes() - before < kMaxGrowth);
}

TEST_CASE("long names of prompt parts are forgotten in time") {
  const int64_t before = base::ResidentBytes();
  PoisonRequestTracker tracker{PoisonRequestTracker::Settings()};
  const base::Instant now = base::Now();
  for (int i = 0; i < 4000; ++i) {
    const Prompt prompt{{"model"}, {{LongText(i), 1}, {"own", 1}}};
    tracker.NoteRequest(SharedPartsOf(prompt));
    tracker.NoteServed(SharedPartsOf(prompt), now);
  }
  CHECK(base::ResidentBytes() - before < kMaxGrowth);
}

TEST_CASE("prompt parts of no tokens are evicted too") {
  constexpr int64_t kCapacity = 90'000;
  const int64_t before = base::ResidentBytes();
  PrefixCacheTracker caches(kCapacity);
  for (int i = 0; i < 1000; ++i) {
    Prompt prompt;
    for (int part = 0; part < 3000; ++part) {
      prompt.parts.push_back({std::to_string(i * 3000 + part), 0});
    }
    caches.NoteSent({"engine"}, PrefixKeysOf(prompt));
  }
  CHECK(base::ResidentBytes() - before < kMaxGrowth);
}

}  // namespace carawayvalve::core
