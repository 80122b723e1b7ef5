#ifndef CARAWAYVALVE_BASE_LOG_H_
#define CARAWAYVALVE_BASE_LOG_H_

#include <string>

namespace carawayvalve::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Returns the level's name in log lines and settings.
const char* LogLevelName(LogLevel level);

// Fields appended to a log line; empty ones are omitted.
struct LogContext {
  std::string request = {};
  std::string attempt = {};
  std::string backend_server = {};
  std::string peer = {};
  std::string step = {};
};

// Starts writing log lines of at least `level` to standard error.
void SetUpLog(LogLevel level);

// A logger for one component, whose lines start with the component's prefix.
class Log {
 public:
  explicit Log(std::string prefix);

  void Debug(const std::string& sentence, const LogContext& context = {}) const;
  void Info(const std::string& sentence, const LogContext& context = {}) const;
  void Warn(const std::string& sentence, const LogContext& context = {}) const;
  void Fail(const std::string& sentence, const LogContext& context = {}) const;

 private:
  std::string prefix;
};

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_LOG_H_
