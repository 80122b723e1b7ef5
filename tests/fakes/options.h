#ifndef CARAWAYVALVE_TESTS_FAKES_OPTIONS_H_
#define CARAWAYVALVE_TESTS_FAKES_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawayvalve::fakes {

// The parsed command line of a stand-in.
class Options {
 public:
  // Exits the process after printing the help or a command line error.
  Options(int argc, char** argv);

  const std::string& kind() const { return this->kind_name; }

  // Returns the option's text, or "" when it was not given and has no default.
  std::string Text(const std::string& name) const;
  // Returns the comma-separated items of the option.
  std::vector<std::string> List(const std::string& name) const;
  // Throws base::Error when the text is not a number of at least `minimum`.
  int64_t Number(const std::string& name, int64_t minimum = 0) const;
  uint16_t Port(const std::string& name) const;

 private:
  std::string kind_name;
  std::map<std::string, std::string> texts;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_OPTIONS_H_
