#include "carawayvalve/base/journal.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/crash_report.h"

namespace carawayvalve::base {

namespace {

namespace logging = boost::log;

// Boost.Log attribute that distinguishes the journal's records from Log's.
constexpr char kJournalAttribute[] = "Journal";
// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kMaxWriteBytes = 4096;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// Buffers lines up to the limit.
class Journal::Backend : public logging::sinks::basic_formatted_sink_backend<
                             char,
                             logging::sinks::concurrent_feeding> {
 public:
  Backend(size_t max_bytes, int descriptor)
      : waiting(max_bytes), descriptor(descriptor) {
    SetTextBeforeCrash(&this->waiting);
  }
  ~Backend() {
    if (TextBeforeCrash() == &this->waiting) {
      SetTextBeforeCrash(nullptr);
    }
  }
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void consume(const logging::record_view& /*record*/,
               const std::string& line) {
    if (!this->waiting.Append(line + '\n')) {
      ++this->dropped;
    }
  }

  void Flush() {
    while (!this->waiting.view().empty() && this->IsWritable()) {
      const std::string_view next =
          this->waiting.view().substr(0, kMaxWriteBytes);
      const ssize_t taken = write(this->descriptor, next.data(), next.size());
      if (taken <= 0) {
        break;
      }
      this->waiting.DropFront(static_cast<size_t>(taken));
    }
    if (this->dropped > this->reported && this->waiting.view().empty()) {
      this->waiting.Append(
          nlohmann::json{{"ts", UnixMs()},
                         {"level", "warning"},
                         {"event", "log_lines_dropped"},
                         {"lines", this->dropped - this->reported}}
              .dump() +
          '\n');
      this->reported = this->dropped;
    }
  }

  int64_t dropped = 0;

 private:
  bool IsWritable() const {
    pollfd state{this->descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
  }

  WaitingText waiting;
  int descriptor;
  // Dropped lines that have been reported in a log line.
  int64_t reported = 0;
};

struct Journal::Sink {
  boost::shared_ptr<Backend> backend;
  boost::shared_ptr<logging::sinks::unlocked_sink<Backend>> front;
  logging::sources::severity_logger<LogLevel> source;
};

Journal::Journal(const Settings& settings, int descriptor)
    : settings(settings), sink(std::make_unique<Sink>()) {
  this->sink->backend =
      boost::make_shared<Backend>(settings.max_buffered_bytes, descriptor);
  this->sink->front =
      boost::make_shared<logging::sinks::unlocked_sink<Backend>>(
          this->sink->backend);
  this->sink->front->set_formatter(logging::expressions::stream
                                   << logging::expressions::smessage);
  this->sink->front->set_filter(
      logging::expressions::has_attr<bool>(kJournalAttribute));
  this->sink->source.add_attribute(kJournalAttribute,
                                   logging::attributes::constant<bool>(true));
  logging::core::get()->add_sink(this->sink->front);
}

Journal::~Journal() {
  this->Flush();
  logging::core::get()->remove_sink(this->sink->front);
}

void Journal::Write(LogLevel level,
                    const char* event,
                    std::initializer_list<JournalField> fields) {
  if (!this->Writes(level)) {
    return;
  }
  nlohmann::ordered_json line = {
      {"ts", UnixMs()}, {"level", LogLevelName(level)}, {"event", event}};
  for (const JournalField& field : fields) {
    std::visit([&](const auto& value) { line[field.name] = value; },
               field.value);
  }
  BOOST_LOG_SEV(this->sink->source, level)
      << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Journal::Flush() {
  this->sink->backend->Flush();
}

int64_t Journal::dropped() const {
  return this->sink->backend->dropped;
}

}  // namespace carawayvalve::base
