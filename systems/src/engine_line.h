#ifndef CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_
#define CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_

#include <functional>
#include <string>

#include "carawayvalve/systems/engine.h"
#include "json_body.h"

namespace carawayvalve::systems::detail {

// Like ParseEngineLine, with the call that the line belongs to.
EngineLine ParseLine(const CallSite& site, const std::string& line);

// Cuts an engine's output into lines and follows it to its end line.
class EngineOutput {
 public:
  using OnLine = std::function<bool(const std::string& line)>;

  EngineOutput(const CallSite& site, const OnLine& on_line);

  // Takes the next bytes. Returns false when no more are wanted. Throws
  // base::UnknownOutcomeError when they aren't an engine's output.
  bool Take(const char* bytes, size_t count);

  // Takes what is left when the output is over, which may lack a line break.
  void Finish();

  // Whether the end line was handed over.
  bool ended() const { return this->has_ended; }

 private:
  bool TakeLine(const std::string& line);

  const CallSite& site;
  const OnLine& on_line;
  std::string rest;
  bool has_ended = false;
};

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_ENGINE_LINE_H_
