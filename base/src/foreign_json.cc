#include "carawayvalve/base/foreign_json.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::base {

using nlohmann::json;

namespace {

// The parser quotes all of the string that it stopped in.
constexpr size_t kMaxFaultBytes = 200;

bool IsSpace(char byte) {
  return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

bool IsOpening(char byte) {
  return byte == '{' || byte == '[';
}

bool IsClosing(char byte) {
  return byte == '}' || byte == ']';
}

// Reads JSON text by its strings and brackets alone, without recursion.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text(text) {}

  bool AtEnd() const { return this->position == this->text.size(); }

  void SkipSpace() {
    while (!this->AtEnd() && IsSpace(this->text[this->position])) {
      ++this->position;
    }
  }

  // Skips white space and then `byte`; returns whether it was there.
  bool Skip(char byte) {
    this->SkipSpace();
    if (this->AtEnd() || this->text[this->position] != byte) {
      return false;
    }
    ++this->position;
    return true;
  }

  // Skips white space and returns the text of the value that follows; empty
  // when there is none, or its end is missing.
  std::string_view TakeValue() {
    this->SkipSpace();
    const size_t start = this->position;
    int depth = 0;
    while (!this->AtEnd()) {
      const char byte = this->text[this->position];
      if (depth == 0 && (byte == ',' || byte == ':' || IsClosing(byte))) {
        break;
      }
      this->PassByte(depth);
      if (depth == 0 && (byte == '"' || IsClosing(byte))) {
        break;
      }
    }
    return depth == 0 ? this->text.substr(start, this->position - start)
                      : std::string_view();
  }

  // Returns the greatest nesting of the text. At least that which a parser
  // reaches.
  int MaxDepth() {
    int depth = 0;
    int max_depth = 0;
    while (!this->AtEnd()) {
      this->PassByte(depth);
      max_depth = std::max(max_depth, depth);
    }
    return max_depth;
  }

 private:
  // Passes a string, or one byte outside of strings, and adapts `depth`.
  void PassByte(int& depth) {
    const char byte = this->text[this->position++];
    if (byte == '"') {
      this->PassRestOfString();
    } else if (IsOpening(byte)) {
      ++depth;
    } else if (IsClosing(byte)) {
      --depth;
    }
  }

  void PassRestOfString() {
    while (!this->AtEnd()) {
      const char byte = this->text[this->position++];
      if (byte == '"') {
        return;
      }
      if (byte == '\\' && !this->AtEnd()) {
        ++this->position;
      }
    }
  }

  std::string_view text;
  size_t position = 0;
};

}  // namespace

ForeignJson ParseForeignJson(std::string_view text) {
  if (Scanner(text).MaxDepth() > kMaxForeignNesting) {
    return {{},
            "is nested deeper than " + std::to_string(kMaxForeignNesting) +
                " arrays and objects"};
  }
  try {
    return {json::parse(text), ""};
  } catch (const json::exception& error) {
    return {{}, std::string(error.what()).substr(0, kMaxFaultBytes)};
  }
}

std::string PrintJson(const json& value, int indent) {
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

bool SurvivesJson(const std::string& text) {
  return ParseForeignJson(PrintJson(text)).value == json(text);
}

std::optional<std::map<std::string, std::string_view>> SplitJsonObject(
    std::string_view text) {
  Scanner scanner(text);
  std::map<std::string, std::string_view> members;
  if (!scanner.Skip('{')) {
    return std::nullopt;
  }
  for (bool first = true; !scanner.Skip('}'); first = false) {
    if (!first && !scanner.Skip(',')) {
      return std::nullopt;
    }
    const std::string_view name = scanner.TakeValue();
    if (!scanner.Skip(':')) {
      return std::nullopt;
    }
    const std::string_view value = scanner.TakeValue();
    if (value.empty()) {
      return std::nullopt;
    }
    const ForeignJson parsed = ParseForeignJson(name);
    if (parsed.value.is_string()) {
      members[parsed.value.get<std::string>()] = value;
    }
  }
  scanner.SkipSpace();
  return scanner.AtEnd() ? std::optional(members) : std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Skip('[')) {
    return std::nullopt;
  }
  while (!scanner.Skip(']')) {
    if (!elements.empty() && !scanner.Skip(',')) {
      return std::nullopt;
    }
    elements.push_back(scanner.TakeValue());
    if (elements.back().empty()) {
      return std::nullopt;
    }
  }
  scanner.SkipSpace();
  return scanner.AtEnd() ? std::optional(elements) : std::nullopt;
}

}  // namespace carawayvalve::base
