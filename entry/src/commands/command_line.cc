#include "command_line.h"

#include <charconv>
#include <cstdlib>
#include <optional>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::entry::commands {

namespace {

// Reads argument values by their type.
class Arguments {
 public:
  explicit Arguments(const ArgumentValues& values) : values(values) {}

  bool IsGiven(const std::string& name) const {
    return std::get<bool>(this->values.at(name));
  }

  std::string Text(const std::string& name) const {
    return std::get<std::string>(this->values.at(name));
  }

  std::optional<std::string> OptionalText(const std::string& name) const {
    const auto* text = std::get_if<std::string>(&this->values.at(name));
    return text == nullptr ? std::nullopt : std::optional(*text);
  }

  std::string Address(const std::string& name) const {
    std::string text = this->Text(name);
    try {
      base::ParseAddress(text);
    } catch (const base::Error&) {
      throw UsageError(name + " must be HOST:PORT");
    }
    return text;
  }

  std::optional<int64_t> Generation(const std::string& name) const {
    const std::optional<std::string> text = this->OptionalText(name);
    if (!text.has_value()) {
      return std::nullopt;
    }
    int64_t generation = 0;
    const char* end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, generation);
    if (error != std::errc() || rest != end || generation < 0) {
      throw UsageError(name + " must be a whole number");
    }
    return generation;
  }

 private:
  const ArgumentValues& values;
};

KeySelector ToSelector(const Arguments& arguments) {
  KeySelector selector;
  selector.label = arguments.OptionalText("--label");
  selector.sha256 = arguments.OptionalText("--sha256");
  if (const auto account = arguments.OptionalText("--account")) {
    selector.client_account = base::ClientAccountId{*account};
  }
  return selector;
}

// The platform passes the path of the settings file in this variable.
constexpr char kSettingsVariable[] = "CARAWAYVALVE_CONFIG";

std::string GatewaySettingsPath(const Arguments& arguments) {
  if (const auto path = arguments.OptionalText("--settings")) {
    return *path;
  }
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr) {
    throw UsageError("gateway needs --settings or " +
                     std::string(kSettingsVariable));
  }
  return path;
}

}  // namespace

Command ToCommand(const ArgumentValues& values) {
  const Arguments arguments(values);
  const bool json = arguments.IsGiven("--json");
  if (arguments.IsGiven("serve")) {
    return ServeCommand{arguments.Text("--settings")};
  }
  if (arguments.IsGiven("gateway")) {
    return GatewayCommand{GatewaySettingsPath(arguments)};
  }
  if (arguments.IsGiven("print-defaults")) {
    return PrintDefaultsCommand{};
  }
  if (arguments.IsGiven("check")) {
    if (const auto settings = arguments.OptionalText("--settings")) {
      return CheckSettingsCommand{*settings, json};
    }
    return CheckCommand{arguments.Text("FILE"), json};
  }
  if (arguments.IsGiven("diff")) {
    return DiffCommand{arguments.Text("FILE"), arguments.Address("--store"),
                       json};
  }
  if (arguments.IsGiven("apply")) {
    return ApplyCommand{arguments.Text("FILE"), arguments.Address("--store"),
                        arguments.Generation("--expect-generation"), json};
  }
  if (arguments.IsGiven("grant")) {
    return KeyGrantCommand{{arguments.Text("ACCOUNT")},
                           arguments.Text("--label"),
                           arguments.Address("--store"),
                           json};
  }
  if (arguments.IsGiven("withdraw")) {
    return KeyWithdrawCommand{ToSelector(arguments),
                              arguments.Address("--store"), json};
  }
  if (arguments.IsGiven("status")) {
    return StatusCommand{arguments.Address("--operator"), json};
  }
  if (arguments.IsGiven("explain")) {
    return ExplainCommand{arguments.Text("FILE"),
                          arguments.Address("--operator"), json};
  }
  return DumpCommand{arguments.Address("--operator"), json};
}

}  // namespace carawayvalve::entry::commands
