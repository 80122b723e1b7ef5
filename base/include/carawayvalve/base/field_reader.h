#ifndef CARAWAYVALVE_BASE_FIELD_READER_H_
#define CARAWAYVALVE_BASE_FIELD_READER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayvalve::base {

// A validation error in a document.
struct Fault {
  std::string path;  // a JSON pointer such as /routes/0/service
  std::string reason;
  std::string allowed;

  bool operator==(const Fault&) const = default;
};

// Parses JSON with comments from an untrusted source. Throws Error, with the
// line if known, when the text isn't valid JSON, a number overflows a double,
// an object has a duplicate member, the nesting is so deep that printing it
// would exhaust the stack, or there are more than kMaxForeignValues.
nlohmann::json ParseJson(const std::string& text, const std::string& source);

// Reads the members of one JSON object and records each fault with its path.
// Finish reports unknown members.
class FieldReader {
 public:
  // `object` and `faults` must outlive the reader.
  FieldReader(const nlohmann::json& object,
              std::string path,
              std::vector<Fault>& faults);

  // Without a `default_value` the member is required.
  std::string String(const std::string& name,
                     const std::optional<std::string>& default_value = {});
  int64_t Integer(const std::string& name,
                  int64_t min_value,
                  int64_t max_value,
                  const std::optional<int64_t>& default_value = {});
  // A number with or without a fraction.
  double Number(const std::string& name,
                double min_value,
                double max_value,
                const std::optional<double>& default_value = {});
  bool Boolean(const std::string& name,
               const std::optional<bool>& default_value = {});
  // Returns the index of the member's value in `allowed`.
  size_t Choice(const std::string& name,
                const std::vector<std::string>& allowed,
                const std::optional<size_t>& default_value = {});
  std::vector<std::string> Strings(const std::string& name);

  // Returns the member, or an empty array when it is absent.
  const nlohmann::json& Array(const std::string& name);
  // Returns the member, or an empty object when it is absent.
  const nlohmann::json& Object(const std::string& name);

  // Records a fault at the member `name`.
  void AddFault(const std::string& name,
                const std::string& reason,
                const std::string& allowed);

  // Records a fault for each member that was never read.
  void Finish();

  std::string PathOf(const std::string& name) const;

 private:
  const nlohmann::json* Find(const std::string& name, bool required);

  const nlohmann::json& object;
  std::string path;
  std::vector<Fault>& faults;
  std::set<std::string> known;
};

// Throws Error that lists the faults, one per line, unless `faults` is empty.
void ThrowIfAny(const std::vector<Fault>& faults, const std::string& source);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_FIELD_READER_H_
