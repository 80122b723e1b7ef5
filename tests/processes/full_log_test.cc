#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "process.h"

namespace carawayvalve::tests {

namespace {

// A full pipe that nobody reads, as a file.
class FullPipe {
 public:
  explicit FullPipe(const std::string& path) {
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    this->pipe = open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    const std::string text(4096, 'x');
    while (write(this->pipe, text.data(), text.size()) > 0) {
    }
  }
  ~FullPipe() { close(this->pipe); }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

 private:
  int pipe = -1;
};

bool Answers(const std::string& address) {
  systems::HttpRequest request;
  request.method = "GET";
  request.url = "http://" + address + "/metrics";
  try {
    return systems::HttpCall("read metrics", request).status == 200;
  } catch (const base::Error&) {
    return false;
  }
}

}  // namespace

TEST_CASE("an agent whose log nobody reads stops when it is told to") {
  const auto loopback = [] {
    return "127.0.0.1:" + std::to_string(FreePort());
  };
  const std::string folder = MakeFolder();
  const std::string operator_address = loopback();
  std::ofstream(folder + "/agent.json")
      << nlohmann::json{{"host", "bench-1"},
                        {"data_centre", "dc-1"},
                        {"backend_server", "bench-1"},
                        {"service", "bench-models"},
                        {"backend_kind", "model"},
                        {"backend_address", loopback()},
                        {"peer_address", loopback()},
                        {"operator_address", operator_address},
                        {"object_api_address", loopback()},
                        {"slots", 4},
                        {"drain_timeout_ms", 0}};
  {
    const FullPipe log(folder + "/log");
    const Process agent(
        {CARAWAYVALVE_AGENT, "--settings=" + folder + "/agent.json"},
        folder + "/log");
    Await("the agent to answer", [&] { return Answers(operator_address); });
    agent.Signal(SIGTERM);
    CHECK_NOTHROW(
        Await("the agent to stop", [&] { return !Answers(operator_address); }));
  }
  std::filesystem::remove_all(folder);
}

}  // namespace carawayvalve::tests
