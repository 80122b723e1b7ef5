#ifndef CARAWAYVALVE_TESTS_SOAK_SOAK_H_
#define CARAWAYVALVE_TESTS_SOAK_SOAK_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../platform/backend.h"
#include "../platform/store.h"
#include "callers.h"
#include "child.h"
#include "link.h"

namespace carawayvalve::tests {

// Events of each answer that is a stream.
inline constexpr int kEvents = 5;

// Retries of all gateways together: at most this part of a service's requests
// in any window, and the slack more (the platform's rule; the slack is this
// deployment's).
struct RetryBounds {
  double ratio = 0.2;
  double slack = 60;
  std::chrono::seconds window{10};

  bool operator==(const RetryBounds&) const = default;
};

struct SoakSettings {
  // The program under test.
  std::string program;
  // For settings files and logs.
  std::string folder;
  uint32_t seed = 1;
  base::Duration length = std::chrono::seconds(10);
  int gateways = 3;
  int callers = 12;
  // Only planned work: stops, drains and configurations. Then no request may
  // be lost at all.
  bool planned_only = false;
  // In place of faults that are drawn: all backend servers decline while the
  // gateways are killed in turn.
  bool kills_in_turn = false;
  RetryBounds retries;
};

// Runs gateways as processes between stand-ins, does to them what happens on
// the platform, and checks what callers and backend servers see.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings);
  ~Soak();

  // Returns what was found wrong, a line each.
  std::vector<std::string> Run();

 private:
  struct Gateway {
    Child process;
    std::string name;
    std::string settings_path;
    std::string callers_address;
    std::string readiness_address;
    // It answered that it is ready when it was asked last.
    bool ready = false;
    std::unique_ptr<net::Call> question;
    std::unique_ptr<Link> store_link;
    std::unique_ptr<Link> usage_link;
    // When that link was opened again.
    base::Instant usage_healed;
    bool stopping = false;
    base::Instant stop_asked;
    // The end of the last pause.
    base::Instant paused_until;
  };
  struct Server {
    std::unique_ptr<Backend> backend;
    std::unique_ptr<Link> link;
    bool engine = false;
    bool reads = false;
    bool draining = false;
    base::Instant drained;
  };
  struct Report {
    int64_t epoch = 0;
    std::string holder;
    std::string body;
    // It may have waited in a link that has just been opened.
    bool held_up = false;
  };
  using Step = void (Soak::*)();

  void WriteConfiguration();
  int Slots() const;
  void AddServer(bool engine, bool reads);
  void Register(const Server& server, bool draining);
  void PrepareGateway(int number);
  void StartGateway(Gateway& gateway);
  void Watch();
  // Asks each gateway whether it is ready, as the platform's balancer does.
  void AskReadiness();
  void ScheduleFault();
  void ScheduleKillsInTurn();
  // Disturbs whole services beside the other faults.
  void ScheduleServiceFault();
  void After(base::Milliseconds wait, std::function<void()> then);
  base::Milliseconds Draw(int least, int most);
  template <typename Items>
  auto& Pick(Items& items) {
    return items[this->generator() % items.size()];
  }
  void Note(const std::string& what);

  // Faults and planned work.
  void KillGateway();
  void PauseGateway();
  void StopGateway();
  void DisturbStore();
  void DisturbStoreLink();
  void DisturbBackendLink();
  void DisturbBackend();
  void ReplaceServer();
  void WithdrawKey();
  void ChangeRoutes();

  void Heal();
  void OnUsage(const std::shared_ptr<net::Exchange>& exchange);
  void CheckRuns();
  void CheckAnswers();
  void CheckReports();
  void CheckRetries();
  void CheckProgress(size_t first_call);
  void Complain(const std::string& what);

  SoakSettings settings;
  std::mt19937 generator;
  // Drawn from apart, so that a seed's other faults stay what they were.
  std::mt19937 service_generator;
  net::EventLoop loop;
  Store store;
  net::HttpServer usage;
  net::HttpClient balancer;
  std::vector<BackendRun> runs;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Gateway> gateways;
  std::unique_ptr<Callers> callers;
  std::vector<std::unique_ptr<net::Timer>> timers;
  std::vector<Callers::Account> accounts;
  // When each key was taken away.
  std::map<std::string, base::Instant> withdrawn;
  std::vector<Report> reports;
  std::vector<std::string> complaints;
  int64_t plan_version = 0;
  int64_t last_server = 0;
  int64_t last_key = 0;
  int64_t timeout_ms = 3000;
  base::Instant began;
  bool faults_over = false;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_SOAK_H_
