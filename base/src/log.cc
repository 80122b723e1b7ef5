#include "carawayvalve/base/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <climits>
#include <utility>

namespace carawayvalve::base {

namespace {

namespace logging = boost::log;

using Source = logging::sources::severity_logger_mt<LogLevel>;

// Adds the attribute to the source unless the value is empty.
void Attach(Source& source, const char* name, const std::string& value) {
  if (value.empty()) {
    return;
  }
  source.add_attribute(name, logging::attributes::constant<std::string>(value));
}

void FormatRecord(const logging::record_view& record,
                  logging::formatting_ostream& out) {
  out << logging::extract<boost::posix_time::ptime>("TimeStamp", record) << ' '
      << LogLevelName(logging::extract<LogLevel>("Severity", record).get())
      << ' ' << logging::extract<std::string>("Part", record) << ": "
      << record[logging::expressions::smessage];
  for (const char* name :
       {"request", "attempt", "backend_server", "peer", "step"}) {
    if (const auto value = logging::extract<std::string>(name, record)) {
      out << ' ' << name << '=' << value.get();
    }
  }
}

// Writes lines to standard error without waiting for its reader: lines that it
// doesn't accept at once are dropped, and counted in a line of their own.
class StandardErrorBackend
    : public logging::sinks::basic_formatted_sink_backend<
          char,
          logging::sinks::synchronized_feeding> {
 public:
  void consume(const logging::record_view& /*record*/,
               const std::string& formatted) {
    if (this->dropped > 0 &&
        WriteLine(std::to_string(this->dropped) + " lines were dropped")) {
      this->dropped = 0;
    }
    this->dropped += this->dropped > 0 || !WriteLine(formatted) ? 1 : 0;
  }

 private:
  // Returns whether the beginning of the line was written. A pipe that is ready
  // takes PIPE_BUF bytes; what it doesn't take after that is left out.
  static bool WriteLine(const std::string& text) {
    const std::string line = text + '\n';
    size_t written = 0;
    while (written < line.size() && IsReady()) {
      const size_t size = std::min<size_t>(line.size() - written, PIPE_BUF);
      if (write(STDERR_FILENO, line.data() + written, size) < 0) {
        break;
      }
      written += size;
    }
    return written > 0;
  }
  static bool IsReady() {
    pollfd polled{STDERR_FILENO, POLLOUT, 0};
    return poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
  }

  int64_t dropped = 0;
};

void Write(LogLevel level,
           const std::string& prefix,
           const std::string& sentence,
           const LogContext& context) {
  Source source;
  Attach(source, "Part", prefix);
  Attach(source, "request", context.request);
  Attach(source, "attempt", context.attempt);
  Attach(source, "backend_server", context.backend_server);
  Attach(source, "peer", context.peer);
  Attach(source, "step", context.step);
  BOOST_LOG_SEV(source, level) << sentence;
}

}  // namespace

const char* LogLevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

void SetUpLog(LogLevel level) {
  logging::add_common_attributes();
  const auto sink = boost::make_shared<
      logging::sinks::synchronous_sink<StandardErrorBackend>>();
  sink->set_formatter(&FormatRecord);
  logging::core::get()->add_sink(sink);
  logging::core::get()->set_filter(
      logging::expressions::attr<LogLevel>("Severity") >= level);
}

Log::Log(std::string prefix) : prefix(std::move(prefix)) {}

void Log::Debug(const std::string& sentence, const LogContext& context) const {
  Write(LogLevel::kDebug, this->prefix, sentence, context);
}

void Log::Info(const std::string& sentence, const LogContext& context) const {
  Write(LogLevel::kInfo, this->prefix, sentence, context);
}

void Log::Warn(const std::string& sentence, const LogContext& context) const {
  Write(LogLevel::kWarning, this->prefix, sentence, context);
}

void Log::Fail(const std::string& sentence, const LogContext& context) const {
  Write(LogLevel::kError, this->prefix, sentence, context);
}

}  // namespace carawayvalve::base
