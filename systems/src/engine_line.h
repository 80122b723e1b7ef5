#ifndef CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_
#define CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_

#include <functional>
#include <string>

#include "carawayvalve/systems/engine.h"
#include "json_body.h"

namespace carawayvalve::systems::detail {

// Like ParseEngineLine; errors name the call `site`.
EngineLine ParseLine(const CallSite& site, const std::string& line);

// Splits an engine's output into lines and passes them to a callback until the
// end line.
class EngineOutputReader {
 public:
  using OnLine = std::function<bool(const std::string& line)>;

  EngineOutputReader(const CallSite& site, const OnLine& on_line);

  // Processes the next bytes. Returns false when no more are wanted. Throws
  // base::UnknownOutcomeError when a line is malformed or too long.
  bool Append(const char* bytes, size_t count);

  // Processes the last line when the output is complete and lacks a final line
  // break.
  void Finish();

  // Returns whether the end line was passed to the callback.
  bool ended() const { return this->has_ended; }

 private:
  bool HandleLine(const std::string& line);

  const CallSite& site;
  const OnLine& on_line;
  std::string partial_line;
  bool has_ended = false;
};

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_
