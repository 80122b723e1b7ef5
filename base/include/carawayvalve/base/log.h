#ifndef CARAWAYVALVE_BASE_LOG_H_
#define CARAWAYVALVE_BASE_LOG_H_

#include <string>

namespace carawayvalve::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Returns the level as lines and settings write it.
const char* LogLevelName(LogLevel level);

// What a line is about; empty members are left out of the line.
struct LogContext {
  std::string request = {};
  std::string attempt = {};
  std::string backend_server = {};
  std::string peer = {};
  std::string step = {};
};

// Writes lines of at least `level` to standard error from here on.
void SetUpLog(LogLevel level);

// Writes the lines of one part of a process behind that part's prefix.
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
