#include <docopt/docopt.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "soak.h"

namespace {

constexpr char kUsage[] =
    R"(carawayvalve-soak - run gateways under random faults and check their guarantees

Usage:
  carawayvalve-soak --program=FILE --folder=DIR [--seed=N] [--seconds=S]
                    [--gateways=N] [--callers=N]
                    [--kills-in-turn | --poison-part | --rate-limits |
                    --versions | --drills |
                    --spoilt-bytes=NAME [--from-start]]
                    [--memory-limit=MB]

Prints a line per seed and a line per violated guarantee; exits with 1 if there
was a violation. Logs of the gateways and of the faults are kept in the folder.

Options:
  --program=FILE  The carawayvalve program.
  --folder=DIR    For settings and logs; created if it doesn't exist.
  --seed=N        Draws the faults and the requests [default: 1].
  --seconds=S     How long faults are injected [default: 10].
  --gateways=N    Gateways that share the load [default: 3].
  --kills-in-turn  Kills the gateways in turn while all backend servers decline,
                  instead of injecting random faults.
  --poison-part   Some prompts have a part that crashes engines, and connections
                  to backend servers are reset, instead of random faults.
  --rate-limits   Backend servers limit the rate of their requests and withdraw
                  it, while gateways are killed, stopped and paused, instead of
                  random faults.
  --versions      Engines of several software versions serve side by side while
                  streams break off and callers take them up, gateways are
                  killed, stopped and paused, and backend servers are replaced,
                  instead of random faults.
  --drills        The store comes back from older copies, beside the random faults.
  --spoilt-bytes=NAME  Others answer or send without end, again and again,
                  instead of random faults: "worker/", "store/", "usage/",
                  "caller/" or "registry/" and the name of what they send, or
                  "any" to draw them while gateways are killed, stopped and
                  paused.
  --from-start    The store answers so when the gateways start.
  --memory-limit=MB  What a gateway may use, with --spoilt-bytes; more than 260
                  only where it is built with a sanitizer [default: 260].
  --callers=N     Callers, each with one request at a time [default: 12].
)";

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  carawayvalve::tests::SoakSettings settings;
  settings.program = arguments["--program"].asString();
  settings.folder = arguments["--folder"].asString();
  settings.seed = static_cast<uint32_t>(arguments["--seed"].asLong());
  settings.duration = std::chrono::seconds(arguments["--seconds"].asLong());
  settings.gateways = static_cast<int>(arguments["--gateways"].asLong());
  settings.callers = static_cast<int>(arguments["--callers"].asLong());
  settings.kills_in_turn = arguments["--kills-in-turn"].asBool();
  settings.poison_part = arguments["--poison-part"].asBool();
  settings.rate_limits = arguments["--rate-limits"].asBool();
  settings.versions = arguments["--versions"].asBool();
  settings.drills = arguments["--drills"].asBool();
  if (arguments["--spoilt-bytes"]) {
    settings.spoilt_bytes = arguments["--spoilt-bytes"].asString();
    settings.memory_limit_mb = arguments["--memory-limit"].asLong();
    settings.spoilt_from_start = arguments["--from-start"].asBool();
  }
  // Every third seed of the random faults has only planned operations.
  settings.planned_only = settings.seed % 3 == 0 && !settings.kills_in_turn &&
                          !settings.poison_part && !settings.rate_limits &&
                          !settings.versions && !settings.drills &&
                          settings.spoilt_bytes.empty();
  std::filesystem::create_directories(settings.folder);
  const auto complaints = carawayvalve::tests::Soak(settings).Run();
  for (const std::string& complaint : complaints) {
    std::cout << "  " << complaint << '\n';
  }
  return complaints.empty() ? 0 : 1;
}
