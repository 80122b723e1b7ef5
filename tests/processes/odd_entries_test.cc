// Guards against a service that stops while entries of other writers stand in
// the store.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "../platform/backend.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "../platform/odd_names.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

constexpr int kServers = 12;
constexpr size_t kPageSize = 4;
constexpr int kCallers = 8;
constexpr int kCallsEach = 60;
constexpr int kOk = 200;
// Nothing listens there.
constexpr char kNoServer[] = "127.0.0.1:9";

// Twelve servers of the service, in a thread of their own.
class Desk {
 public:
  Desk() {
    for (int i = 0; i < kServers; ++i) {
      Backend::Settings settings;
      settings.id = ServerName(i);
      this->servers.push_back(
          std::make_unique<Backend>(this->loop, settings, this->runs));
    }
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~Desk() { this->Stop(); }

  std::string AddressOf(int number) const {
    return "127.0.0.1:" + std::to_string(this->servers.at(number)->port());
  }

  // Stops the servers. Returns how many requests each has run.
  std::map<std::string, int> Stop() {
    if (this->thread.joinable()) {
      this->loop.Post([this] { this->loop.Stop(); });
      this->thread.join();
    }
    std::map<std::string, int> counts;
    for (const BackendRun& run : this->runs) {
      ++counts[run.backend];
    }
    return counts;
  }

 private:
  net::EventLoop loop;
  std::vector<BackendRun> runs;
  std::vector<std::unique_ptr<Backend>> servers;
  std::thread thread;
};

// Returns an answer with the status 0 if there is none.
systems::HttpResponse Get(const std::string& address, const std::string& path) {
  systems::HttpRequest request;
  request.method = "GET";
  request.url = "http://" + address + path;
  request.headers = {{"Host", "gateway.example"},
                     {kKeyField, "key-guild"},
                     {"X-Request-Id", path}};
  try {
    return systems::HttpCall("call gateway", request);
  } catch (const base::Error&) {
    return {};
  }
}

int StatusOf(const std::string& address, const std::string& path) {
  return Get(address, path).status;
}

// Two gateways that start while the entries stand.
struct OddEntriesTest {
  explicit OddEntriesTest(const std::vector<std::string>& odd_names,
                          size_t page_size = kPageSize) {
    this->platform.ChangeStore([&](Store& store) {
      store.page_size = page_size;
      store.Remove("servers", "i-1");
      for (int i = 0; i < kServers; ++i) {
        store.Put("servers", ServerName(i),
                  DeskServer(this->desk.AddressOf(i)));
      }
      for (const std::string& name : odd_names) {
        store.Put("servers", name, DeskServer(kNoServer));
      }
    });
    this->StartGateways();
  }

  void StartGateways() {
    this->gateways.clear();
    for (const auto& [host, listen] : this->listen) {
      this->gateways.push_back(this->platform.StartBeside(host, listen));
    }
    for (const auto& [host, listen] : this->listen) {
      const std::string address = listen.at("readiness");
      Await(host + " to be ready",
            [&] { return StatusOf(address, "/api/ready") == kOk; });
    }
  }

  // Returns how many of 480 requests are answered with 200.
  int Serve() {
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        const auto& gateway = this->listen.at(caller % this->listen.size());
        const std::string address = gateway.second.at("callers");
        for (int call = 0; call < kCallsEach; ++call) {
          const std::string path =
              "/look/" + std::to_string(caller) + "-" + std::to_string(call);
          served += StatusOf(address, path) == kOk ? 1 : 0;
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return served;
  }

  int ListsOfServers() {
    int lists = 0;
    this->platform.ChangeStore([&](Store& store) {
      lists = static_cast<int>(store.pages["servers"].size());
    });
    return lists;
  }

  void CheckThatAllServe() {
    CHECK(this->Serve() == kCallers * kCallsEach);
    CHECK(this->desk.Stop().size() == kServers);
  }

  // Checks that each gateway has told of each odd entry once, on one line and
  // in printable ASCII, and names none of them elsewhere.
  void CheckThatEachIsToldOnce(const std::vector<std::string>& odd_names) {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      const std::string metrics = this->listen.at(i).second.at("metrics");
      const std::string output = this->gateways[i]->Output();
      const auto lines = LogLines(output, "backend_unreadable");
      CHECK(lines.size() == odd_names.size());
      for (const auto& line : lines) {
        const std::string name = line.at("name");
        CHECK(std::all_of(name.begin(), name.end(), [](char byte) {
          return byte >= ' ' && byte <= '~';
        }));
      }
      const std::string counted =
          "carawayvalve_unreadable_objects_total{kind=\"servers\",what="
          "\"entry\"} " +
          std::to_string(odd_names.size()) + "\n";
      CHECK((odd_names.empty() ||
             Get(metrics, "/metrics").body.find(counted) != std::string::npos));
      for (const char* page : {"/metrics", "/dump"}) {
        const std::string text = Get(metrics, page).body;
        for (const std::string& name : odd_names) {
          CHECK(text.find(name) == std::string::npos);
        }
      }
    }
  }

  Desk desk;
  GatewayPlatform platform;
  std::vector<std::pair<std::string, nlohmann::json>> listen = {
      {"edge-1", GatewayPlatform::FreePorts()},
      {"edge-2", GatewayPlatform::FreePorts()}};
  std::vector<std::unique_ptr<Process>> gateways;
};

// Returns ten names that stand in a row behind the server w03.
std::vector<std::string> TenNames(const std::string& bytes) {
  std::vector<std::string> names;
  names.reserve(10);
  for (int i = 0; i < 10; ++i) {
    names.push_back(ServerName(3) + bytes + std::to_string(i));
  }
  return names;
}

}  // namespace

TEST_CASE("two gateways start beside entries of another writer") {
  std::vector<std::string> names;
  size_t page_size = kPageSize;
  SUBCASE("none") {}
  SUBCASE("ten in a row with &") {
    names = TenNames("&");
  }
  SUBCASE("ten in a row with +") {
    names = TenNames("+");
  }
  SUBCASE("ten in a row with #") {
    names = TenNames("#");
  }
  SUBCASE("ten in a row with a blank") {
    names = TenNames(" ");
  }
  SUBCASE("one at a page's end with a tab") {
    names = {"w02\t"};
  }
  SUBCASE("one at a page's end with a line feed") {
    names = {"w02\n"};
  }
  SUBCASE("one at the end of each page of two") {
    for (int i = 0; i < kServers; ++i) {
      names.push_back(ServerName(i) + " #");
    }
    page_size = 2;
  }
  OddEntriesTest test(names, page_size);
  // Each gateway lists the servers once, unless it has to start again.
  const int pages =
      static_cast<int>((kServers + names.size() + page_size - 1) / page_size);
  // A gateway is ready before it has read all pages.
  Await("all pages to be read",
        [&] { return test.ListsOfServers() >= 2 * pages; });
  test.CheckThatAllServe();
  CHECK(test.ListsOfServers() == 2 * pages);
  test.CheckThatEachIsToldOnce(names);
}

TEST_CASE("two gateways that were stopped start again beside an odd entry") {
  OddEntriesTest test({});
  test.platform.ChangeStore([](Store& store) {
    store.Put("servers", "w02 #", DeskServer(kNoServer));
  });
  for (const auto& gateway : test.gateways) {
    gateway->Signal(SIGTERM);
  }
  for (const auto& gateway : test.gateways) {
    CHECK(gateway->WaitForEnd() == 0);
  }
  test.StartGateways();
  test.CheckThatAllServe();
}

}  // namespace carawayvalve::tests
