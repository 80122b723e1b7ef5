#ifndef CARAWAYVALVE_BASE_FOREIGN_JSON_H_
#define CARAWAYVALVE_BASE_FOREIGN_JSON_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayvalve::base {

// The greatest nesting of arrays and objects in JSON from another process.
// Copying and printing a value recurse once a level.
constexpr int kMaxForeignNesting = 128;

// The greatest number of values in JSON from another process, of which an array
// or object counts as two. Each needs up to a hundred bytes once it is parsed,
// whatever its text needs.
constexpr size_t kMaxForeignValues = size_t{256} * 1024;

// A value from JSON text that another process wrote.
struct ForeignJson {
  // Null when the text can't be read. Copying and printing it is safe.
  nlohmann::json value;
  // Why the text can't be read: it isn't JSON or not UTF-8, a number is out of
  // range, it is nested too deeply or has too many values. Empty when it was
  // read.
  std::string fault;
};

// Never throws for what the text holds.
ForeignJson ParseForeignJson(std::string_view text);

// Returns the bytes of the JSON string that `text` holds, which may be none of
// UTF-8 and may have control bytes that JSON doesn't allow; nothing if it isn't
// a string.
std::optional<std::string> ReadForeignString(std::string_view text);

// Parses several texts, which are to have kMaxForeignValues together. If they
// have more, those with the most values aren't read.
std::vector<ForeignJson> ParseForeignTexts(
    const std::vector<std::string_view>& texts);

// Returns whether ParseForeignTexts reads each text that ParseForeignJson
// reads.
bool FitTogether(const std::vector<std::string_view>& texts);

// Prints JSON whose texts may come from another process; on one line unless
// `indent` is the spaces a level. Each sequence that isn't UTF-8 becomes
// U+FFFD, so that different texts may print alike, see SurvivesJson.
std::string PrintJson(const nlohmann::json& value, int indent = -1);

// Returns whether a reader gets back the same text from PrintJson.
bool SurvivesJson(const std::string& text);

// Return the texts of the members of the object, or of the elements of the
// array, that `text` holds, each of which may be unreadable by itself; nothing
// when `text` isn't an object or array whose ends can be found, or has more
// than kMaxForeignParts of them. Names that can't be read are left out. Of two
// members with one name the last counts.
constexpr size_t kMaxForeignParts = size_t{64} * 1024;
std::optional<std::map<std::string, std::string_view>> SplitJsonObject(
    std::string_view text);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_FOREIGN_JSON_H_
