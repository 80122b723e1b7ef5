#ifndef CARAWAYVALVE_BASE_JOURNAL_H_
#define CARAWAYVALVE_BASE_JOURNAL_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "carawayvalve/base/log.h"

namespace carawayvalve::base {

using JournalValue = std::variant<int64_t, double, bool, std::string>;

struct JournalField {
  JournalField(const char* name, JournalValue value)
      : name(name), value(std::move(value)) {}
  JournalField(const char* name, const char* text)
      : name(name), value(std::string(text)) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> &&
      (!std::is_same_v<Integer, bool>)JournalField(const char* name,
                                                   Integer number)
      : name(name), value(static_cast<int64_t>(number)) {}

  const char* name;
  JournalValue value;
};

// Writes structured log events to a file descriptor, one JSON object per line.
// Lines are buffered in memory until Flush, and no call blocks: lines beyond
// the buffer's limit are dropped, counted, and reported in a line of their own.
// One journal per process; not thread-safe.
class Journal {
 public:
  struct Settings {
    LogLevel level = LogLevel::kInfo;
    // Limit on lines that aren't written yet, in bytes.
    size_t max_buffered_bytes = size_t{256} * 1024;

    bool operator==(const Settings&) const = default;
  };

  // Lines are written to `descriptor`, which must outlive the journal.
  Journal(const Settings& settings, int descriptor);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void Write(LogLevel level,
             const char* event,
             std::initializer_list<JournalField> fields);
  void SetLevel(LogLevel level) { this->settings.level = level; }
  bool Writes(LogLevel level) const { return level >= this->settings.level; }

  // Writes as many buffered lines as the descriptor accepts without blocking.
  void Flush();

  // The number of lines dropped so far.
  int64_t dropped() const;

 private:
  class Backend;
  struct Sink;

  Settings settings;
  std::unique_ptr<Sink> sink;
};

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_JOURNAL_H_
