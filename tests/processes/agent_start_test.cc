#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

// The agent's exit codes, as documented by --help and docs/OPERATING.md.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A temporary folder for settings files and logs; the destructor removes it.
class Folder {
 public:
  Folder() : path(MakeFolder()) {}
  ~Folder() { std::filesystem::remove_all(this->path); }

  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    std::string file = this->path + "/" + name;
    std::ofstream(file) << text;
    return file;
  }

  std::string LogPath(const std::string& name) const {
    return this->path + "/" + name + ".log";
  }

 private:
  std::string path;
};

// Returns an agent's settings. Nothing listens at the addresses of the backend
// server and the store.
json Settings(const std::string& peer_address,
              const std::string& operator_address) {
  return {{"host", "bench-1"},
          {"data_centre", "dc-1"},
          {"backend_server", "bench-1"},
          {"service", "bench-models"},
          {"backend_kind", "model"},
          {"backend_address", Loopback(FreePort())},
          {"peer_address", peer_address},
          {"operator_address", operator_address},
          {"object_api_address", Loopback(FreePort())},
          {"slots", 4},
          {"load_interval_ms", 50},
          {"drain_timeout_ms", 0}};
}

}  // namespace

TEST_CASE("an agent whose address is in use logs the reason and waits") {
  const Folder folder;
  const std::string peer_address = Loopback(FreePort());
  const std::string operator_address = Loopback(FreePort());
  const auto start = [&](const std::string& name, const json& settings) {
    return std::make_unique<Process>(
        std::vector<std::string>{
            CARAWAYVALVE_AGENT,
            "--settings=" + folder.Write(name + ".json", settings.dump())},
        folder.LogPath(name));
  };
  const auto serves = [](const Process& agent) {
    return Contains(agent.Output(), "The agent serves.");
  };
  const auto first = start("first", Settings(peer_address, operator_address));
  Await("the first agent to serve", [&] { return serves(*first); });
  const auto start_second = [&](const std::string& reason,
                                const json& settings) {
    auto second = start("second", settings);
    Await("the second agent to log the reason",
          [&] { return Contains(second->Output(), reason); });
    CHECK_FALSE(serves(*second));
    return second;
  };

  SUBCASE("a peer address: the error names the step and the address") {
    const auto second =
        start_second("listen for entry processes at " + peer_address,
                     Settings(peer_address, Loopback(FreePort())));
    SUBCASE("it stops when it is told to") {
      second->Signal(SIGTERM);
      CHECK(second->WaitForEnd() == kExitDone);
    }
    SUBCASE("it serves once the address is free") {
      first->Signal(SIGTERM);
      CHECK(first->WaitForEnd() == kExitDone);
      Await("the second agent to serve", [&] { return serves(*second); });
    }
  }
  SUBCASE("an operator address: the error names the step and the address") {
    const auto second =
        start_second("listen for operators at " + operator_address,
                     Settings(Loopback(FreePort()), operator_address));
    SUBCASE("it stops when it is told to") {
      second->Signal(SIGTERM);
      CHECK(second->WaitForEnd() == kExitDone);
    }
    SUBCASE("it serves once the address is free") {
      first->Signal(SIGTERM);
      CHECK(first->WaitForEnd() == kExitDone);
      Await("the second agent to serve", [&] { return serves(*second); });
    }
  }
}

TEST_CASE("a wrong command line of an agent gets an exit code of its own") {
  const auto run = [](const std::vector<std::string>& arguments, int expected) {
    std::vector<std::string> command = {CARAWAYVALVE_AGENT};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return RunCommand(command, expected);
  };

  SUBCASE("unknown or missing arguments: the error points to --help") {
    for (const std::vector<std::string>& arguments :
         {std::vector<std::string>{}, {"--setings=a.json"}, {"serve"}}) {
      CHECK(Contains(run(arguments, kExitUsage), "carawayvalve-agent --help"));
    }
  }
  SUBCASE("--help prints the usage") {
    CHECK(Contains(run({"--help"}, kExitDone), "Usage:"));
  }
  SUBCASE("--print-defaults prints the settings") {
    CHECK(Contains(run({"--print-defaults"}, kExitDone), "peer_address"));
  }
}

}  // namespace carawayvalve::tests
