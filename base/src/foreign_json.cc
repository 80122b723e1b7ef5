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

bool IsPrintable(char byte) {
  return byte >= ' ' && byte <= '~';
}

// What a text becomes when it is parsed, at most.
struct Extent {
  int max_depth = 0;
  size_t values = 1;
};

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

  // Returns the extent of the text.
  Extent Measure() {
    Extent extent;
    int depth = 0;
    while (!this->AtEnd()) {
      const char byte = this->text[this->position];
      extent.values += byte == ',' ? 1 : IsOpening(byte) ? 2 : 0;
      this->PassByte(depth);
      extent.max_depth = std::max(extent.max_depth, depth);
    }
    return extent;
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
  const Extent extent = Scanner(text).Measure();
  if (extent.max_depth > kMaxForeignNesting) {
    return {{},
            "is nested deeper than " + std::to_string(kMaxForeignNesting) +
                " arrays and objects"};
  }
  if (extent.values > kMaxForeignValues) {
    return {{},
            "has more than " + std::to_string(kMaxForeignValues) + " values"};
  }
  try {
    return {json::parse(text), ""};
  } catch (const json::exception& error) {
    return {{}, std::string(error.what()).substr(0, kMaxFaultBytes)};
  }
}

std::optional<std::string> ReadForeignString(std::string_view text) {
  const bool is_quoted =
      text.size() >= 2 && text.front() == '"' && text.back() == '"';
  if (!is_quoted) {
    return std::nullopt;
  }
  text = text.substr(1, text.size() - 2);
  std::string read;
  while (!text.empty()) {
    const auto end = std::find_if_not(text.begin(), text.end(), IsPrintable);
    const auto size = static_cast<size_t>(end - text.begin());
    if (size == 0) {
      read += text.front();
      text.remove_prefix(1);
      continue;
    }
    const std::string part = '"' + std::string(text.substr(0, size)) + '"';
    const json parsed = ParseForeignJson(part).value;
    if (!parsed.is_string()) {
      return std::nullopt;
    }
    read += parsed.get_ref<const std::string&>();
    text.remove_prefix(size);
  }
  return read;
}

std::vector<ForeignJson> ParseForeignTexts(
    const std::vector<std::string_view>& texts) {
  std::vector<std::pair<size_t, size_t>> by_values;
  for (size_t i = 0; i < texts.size(); ++i) {
    by_values.emplace_back(Scanner(texts[i]).Measure().values, i);
  }
  std::sort(by_values.begin(), by_values.end());
  std::vector<ForeignJson> parsed(texts.size());
  size_t total = 0;
  for (const auto& [values, i] : by_values) {
    total += values;
    parsed[i] = total > kMaxForeignValues
                    ? ForeignJson{{}, "has too many values beside others"}
                    : ParseForeignJson(texts[i]);
  }
  return parsed;
}

bool FitTogether(const std::vector<std::string_view>& texts) {
  size_t total = 0;
  for (const std::string_view text : texts) {
    const size_t values = Scanner(text).Measure().values;
    total += values > kMaxForeignValues ? 0 : values;
  }
  return total <= kMaxForeignValues;
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
    if ((!first && !scanner.Skip(',')) || members.size() == kMaxForeignParts) {
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
    if ((!elements.empty() && !scanner.Skip(',')) ||
        elements.size() == kMaxForeignParts) {
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
