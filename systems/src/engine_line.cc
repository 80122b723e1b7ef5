#include "engine_line.h"

#include <limits>

namespace carawayvalve::systems {

namespace {

constexpr size_t kMaxLineBytes = 1 << 20;

EngineLine ReadLine(base::FieldReader& fields) {
  constexpr int64_t kMost = std::numeric_limits<int64_t>::max();
  EngineLine line;
  if (!fields.Boolean("end", false)) {
    line.text = fields.String("text");
    return line;
  }
  GenerationEnd end;
  end.finish_reason = fields.String("finish_reason");
  end.prompt_tokens = fields.Integer("prompt_tokens", 0, kMost);
  end.output_tokens = fields.Integer("output_tokens", 0, kMost);
  end.cached_tokens = fields.Integer("cached_tokens", 0, kMost);
  line.end = std::move(end);
  return line;
}

}  // namespace

EngineLine ParseEngineLine(const std::string& line) {
  return detail::ParseLine({"read output line", "engine"}, line);
}

namespace detail {

EngineLine ParseLine(const CallSite& site, const std::string& line) {
  return ReadObject(site, ParseBody(site, line), ReadLine);
}

EngineOutput::EngineOutput(const CallSite& site, const OnLine& on_line)
    : site(site), on_line(on_line) {}

bool EngineOutput::Take(const char* bytes, size_t count) {
  size_t begin = this->rest.size();
  this->rest.append(bytes, count);
  size_t line_begin = 0;
  for (size_t end = this->rest.find('\n', begin); end != std::string::npos;
       end = this->rest.find('\n', line_begin)) {
    if (!this->TakeLine(this->rest.substr(line_begin, end - line_begin))) {
      return false;
    }
    line_begin = end + 1;
  }
  this->rest.erase(0, line_begin);
  if (this->rest.size() > kMaxLineBytes) {
    ThrowUnreadable(this->site, "an output line is too long");
  }
  return true;
}

void EngineOutput::Finish() {
  if (!this->has_ended && !this->rest.empty()) {
    this->TakeLine(this->rest);
  }
}

bool EngineOutput::TakeLine(const std::string& line) {
  const bool is_end = ParseLine(this->site, line).end.has_value();
  const bool goes_on = this->on_line(line);
  this->has_ended = is_end;
  return goes_on && !is_end;
}

}  // namespace detail

}  // namespace carawayvalve::systems
