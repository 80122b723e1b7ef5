#include "engine_line.h"

#include <limits>

namespace carawayvalve::systems {

namespace {

constexpr size_t kMaxLineBytes = 1 << 20;

EngineLine ReadLine(base::FieldReader& fields) {
  constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();
  EngineLine line;
  if (!fields.Boolean("end", false)) {
    line.text = fields.String("text");
    return line;
  }
  GenerationEnd end;
  end.finish_reason = fields.String("finish_reason");
  end.prompt_tokens = fields.Integer("prompt_tokens", 0, kMaxInteger);
  end.output_tokens = fields.Integer("output_tokens", 0, kMaxInteger);
  end.cached_tokens = fields.Integer("cached_tokens", 0, kMaxInteger);
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

EngineOutputReader::EngineOutputReader(const CallSite& site,
                                       const OnLine& on_line)
    : site(site), on_line(on_line) {}

bool EngineOutputReader::Append(const char* bytes, size_t count) {
  size_t begin = this->partial_line.size();
  this->partial_line.append(bytes, count);
  size_t line_begin = 0;
  for (size_t end = this->partial_line.find('\n', begin);
       end != std::string::npos;
       end = this->partial_line.find('\n', line_begin)) {
    if (!this->HandleLine(
            this->partial_line.substr(line_begin, end - line_begin))) {
      return false;
    }
    line_begin = end + 1;
  }
  this->partial_line.erase(0, line_begin);
  if (this->partial_line.size() > kMaxLineBytes) {
    ThrowUnreadable(this->site, "an output line is too long");
  }
  return true;
}

void EngineOutputReader::Finish() {
  if (this->has_ended || this->partial_line.empty()) {
    return;
  }
  try {
    this->HandleLine(this->partial_line);
  } catch (const base::UnreadableAnswerError& error) {
    // The connection may have cut the line.
    throw base::UnknownOutcomeError(error.step(), error.peer(), error.reason());
  }
}

bool EngineOutputReader::HandleLine(const std::string& line) {
  const bool is_end = ParseLine(this->site, line).end.has_value();
  const bool continues = this->on_line(line);
  this->has_ended = is_end;
  return continues && !is_end;
}

}  // namespace detail

}  // namespace carawayvalve::systems
