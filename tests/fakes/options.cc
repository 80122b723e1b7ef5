#include "options.h"

#include <docopt.h>

#include <charconv>
#include <sstream>

#include "carawayvalve/base/error.h"

namespace carawayvalve::fakes {

namespace {

constexpr char kUsage[] =
    R"(Stand-ins of the outside systems, for tests and demonstrations. Each
listens on 127.0.0.1 and prints `ready PORT` when it does. docs/STANDINS.md
describes what they speak.

Usage:
  carawayvalve-fakes object-api --port=N
  carawayvalve-fakes host-list --port=N [--lag-ms=N]
  carawayvalve-fakes backend-servers --port=N [--change-ms=N]
  carawayvalve-fakes usage --port=N
  carawayvalve-fakes weights --port=N [--per-second=N]
  carawayvalve-fakes engine --port=N [--models=NAMES] [--role=ROLE]
      [--prefill-tps=N] [--decode-tps=N] [--slots=N] [--cache-pieces=N]
      [--role-change-ms=N] [--load-lag-ms=N] [--checks-fencing=N]
      [--crash-on=TEXT] [--software-version=TEXT]
  carawayvalve-fakes plain --port=N [--crash-on=TEXT] [--delay-ms=N]
  carawayvalve-fakes forwarder --port=N --to=ADDRESS --control-port=N
  carawayvalve-fakes --help

Options:
  --port=N            Port to listen on; 0 draws one.
  --lag-ms=N          host-list: how long a change takes to show [default: 0].
  --change-ms=N       backend-servers: how long a server is starting or
                      stopping [default: 0].
  --per-second=N      weights: answers a second before 429 [default: 5].
  --models=NAMES      engine: models loaded, with commas [default: model].
  --role=ROLE         engine: mixed, prefill or decode [default: mixed].
                      prefill decodes at a tenth, decode prefills at a tenth.
  --prefill-tps=N     engine: prompt tokens a second [default: 20000].
  --decode-tps=N      engine: output tokens a second over all streams; one
                      stream gets a quarter at most [default: 2000].
  --slots=N           engine: requests run at a time; more wait, by priority,
                      the highest number first, then arrival [default: 32].
  --cache-pieces=N    engine: pieces of 2,048 tokens that its prefix cache
                      holds, least recently used out first [default: 64].
  --role-change-ms=N  engine: how long a change takes; meanwhile new requests
                      get 503 and others go on [default: 3000].
  --load-lag-ms=N     engine: age of the reported load [default: 0].
  --checks-fencing=N  engine: 1 refuses old fencing tokens [default: 1].
  --crash-on=TEXT     engine: a prompt that holds the text ends the process
                      with exit code 42 as its prefill ends. plain: the same
                      for a path or body, at the end of the run.
  --software-version=TEXT  engine: reported with the load; what two versions
                      write doesn't fit together. None if not given.
  --delay-ms=N        plain: how long a run takes [default: 0].
  --to=ADDRESS        forwarder: HOST:PORT, by IP number, to connect to.
  --control-port=N    forwarder: where POST /cut {"cut":true|false} closes and
                      refuses connections, and POST /stall
                      {"stall":true|false} stops passing bytes. Printed as
                      `control PORT` behind the ready line; 0 draws one.
  -h, --help          Show this.

Faults, for every kind (on the control port of the forwarder):
  POST /fault {"delay_ms":N, "down":BOOL, "lose_answers":N, "rate_limit":"N"}
    Each member is optional. Answers wait delay_ms after taking effect. While
    down, connections close without an answer, running streams included.
    lose_answers carries out that many requests other than GET and HEAD, then
    closes without an answer. Every answer names rate_limit, the requests a
    second that are taken; "" names none.
  GET /calls gives the number of calls, those refused while down included.

engine: a prompt that holds length=N gets N tokens, others 8 to 63, and never
more than max_tokens, which counts tokens_so_far; output_tokens counts those
of this run only. The generation ends when its caller closes the connection.
backend-servers: PUT /backend-servers/DC/NAME {"service":..,"state":..} sets
one for tests; the state "stopped" hides it.
)";

}  // namespace

Options::Options(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const auto& [name, value] : docopt::docopt(kUsage, arguments)) {
    if (value.isString()) {
      this->texts[name] = value.asString();
    } else if (value.isBool() && value.asBool()) {
      this->kind_name = name;
    }
  }
}

std::string Options::Text(const std::string& name) const {
  const auto found = this->texts.find(name);
  return found == this->texts.end() ? "" : found->second;
}

std::vector<std::string> Options::List(const std::string& name) const {
  std::istringstream text(this->Text(name));
  std::vector<std::string> parts;
  std::string part;
  while (std::getline(text, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

int64_t Options::Number(const std::string& name, int64_t minimum) const {
  const std::string text = this->Text(name);
  const char* end = text.data() + text.size();
  int64_t number = 0;
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < minimum) {
    throw base::Error("read options", name,
                      "\"" + text + "\" is not a number of at least " +
                          std::to_string(minimum));
  }
  return number;
}

uint16_t Options::Port(const std::string& name) const {
  const int64_t number = this->Number(name);
  if (number > UINT16_MAX) {
    throw base::Error("read options", name, "a port is at most 65535");
  }
  return static_cast<uint16_t>(number);
}

}  // namespace carawayvalve::fakes
