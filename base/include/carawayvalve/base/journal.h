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

// Writes one JSON object a line to standard output. Lines are kept in memory
// until Flush and never make the process wait: what doesn't fit into the bound
// is dropped, counted, and told as a line of its own. One journal a process;
// all calls come from one thread.
class Journal {
 public:
  struct Settings {
    LogLevel level = LogLevel::kInfo;
    // Lines that standard output hasn't taken yet, in bytes.
    size_t max_buffered_bytes = size_t{256} * 1024;

    bool operator==(const Settings&) const = default;
  };

  // `descriptor` is where lines go.
  Journal(const Settings& settings, int descriptor);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void Write(LogLevel level,
             const char* event,
             std::initializer_list<JournalField> fields);
  void SetLevel(LogLevel level) { this->settings.level = level; }
  bool Writes(LogLevel level) const { return level >= this->settings.level; }

  // Hands lines over as far as the descriptor takes them without waiting.
  void Flush();

  int64_t dropped() const;

 private:
  class Backend;
  struct Sink;

  Settings settings;
  std::unique_ptr<Sink> sink;
};

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_JOURNAL_H_
