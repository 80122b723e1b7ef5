#ifndef CARAWAYVALVE_TESTS_SOAK_SOAK_H_
#define CARAWAYVALVE_TESTS_SOAK_SOAK_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../platform/backend.h"
#include "../platform/link.h"
#include "../platform/store.h"
#include "callers.h"
#include "child.h"
#include "spoiler.h"

namespace carawayvalve::tests {

// Number of events in each streamed answer.
inline constexpr int kEventsPerStream = 5;

// The memory of each gateway in MB, that of a small machine.
inline constexpr int64_t kMemoryMb = 260;
// Draws the answers without end.
inline constexpr char kAnySpoiltBytes[] = "any";

// Bounds the retries of all gateways together: in any window at most `ratio`
// times the service's requests plus `slack`. The platform sets the rule, this
// deployment the slack.
struct RetryBounds {
  double ratio = 0.2;
  double slack = 60;
  std::chrono::seconds window{10};

  bool operator==(const RetryBounds&) const = default;
};

struct SoakSettings {
  // The program under test.
  std::string program;
  // Holds the settings files and logs.
  std::string folder;
  uint32_t seed = 1;
  base::Duration duration = std::chrono::seconds(10);
  int gateways = 3;
  int callers = 12;
  // Draws only planned operations: stops, drains and configuration changes.
  // No request may be lost then.
  bool planned_only = false;
  // Replaces the random faults: all backend servers decline while the gateways
  // are killed in turn.
  bool kills_in_turn = false;
  // Replaces the random faults: some prompts have a part that crashes engines,
  // and connections to backend servers are reset.
  bool poison_part = false;
  // Replaces the random faults: backend servers limit the rate of their
  // requests and withdraw it, while gateways are killed, stopped and paused.
  bool rate_limits = false;
  // Replaces the random faults: engines of two software versions serve side by
  // side, streams break off and callers take them up, while gateways are
  // killed, stopped and paused and backend servers are replaced.
  bool versions = false;
  // Adds to the random faults: the store comes back from an older copy, again
  // and again.
  bool drills = false;
  // Replaces the random faults: others answer or send without end, again and
  // again. The name of what they send, as "worker/NAME", "store/NAME",
  // "usage/NAME" (the platform's usage interface), "caller/NAME" (to all ports)
  // or "registry/NAME" (large entries in the store). "any" draws them, while
  // gateways are killed, stopped and paused; empty for none.
  std::string spoilt_bytes;
  // The store answers without end when the gateways start.
  bool spoilt_from_start = false;
  // A gateway that uses more than this is killed, and it is a complaint. More
  // than its memory only where gateways are built with a sanitizer.
  int64_t memory_limit_mb = kMemoryMb;
  RetryBounds retries;
};

// Runs gateways as processes between stand-ins of the platform, injects faults
// and planned operations, and checks what callers and backend servers observe.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings);
  ~Soak();

  // Returns the violations found, one line each.
  std::vector<std::string> Run();

 private:
  struct Disturbed {
    base::Instant begun;
    // Empty until the process is started again.
    std::optional<base::Instant> ended;
  };
  struct Gateway {
    Child process;
    std::string name;
    std::string settings_path;
    std::string callers_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string peers_address;
    // Result of the last readiness check.
    bool ready = false;
    std::unique_ptr<net::Call> readiness_call;
    std::unique_ptr<Link> store_link;
    // Before `store_link`; null unless answers are spoilt.
    std::unique_ptr<Spoiler> store_spoiler;
    int64_t peak_bytes = 0;
    std::unique_ptr<Link> usage_link;
    // Before `usage_link`; null unless answers are spoilt.
    std::unique_ptr<Spoiler> usage_spoiler;
    // When it was killed, stopping or paused.
    std::vector<Disturbed> disturbed;
    // When `usage_link` was last reopened.
    base::Instant usage_link_reopened;
    bool stopping = false;
    base::Instant stop_requested;
    // The end of the last pause.
    base::Instant paused_until;
  };
  struct Server {
    std::unique_ptr<Backend> backend;
    std::unique_ptr<Link> link;
    // Before `link`; null unless answers are spoilt.
    std::unique_ptr<Spoiler> spoiler;
    bool engine = false;
    bool prefill = false;
    // Of its software.
    int version = 1;
    base::Instant started;
    bool draining = false;
    base::Instant drained;
  };
  // A backend server named a limit, in requests a second, and withdrew it.
  struct RateLimitTime {
    const Server* server = nullptr;
    double per_second = 0;
    base::Instant named;
    base::Instant withdrawn;
    // No server of its service could answer without a limit.
    bool whole_service = false;
  };
  // A server of a service with `servers` spoilt its answers for a while.
  struct SpoiltTime {
    std::string what;
    const Server* server = nullptr;
    int64_t servers = 0;
    base::Instant begun;
    base::Instant ended;
    // The requests that reached the server.
    int64_t requests = 0;
  };
  struct Report {
    int64_t epoch = 0;
    std::string holder;
    std::string body;
    // The report may have been held in a link that was reopened just before.
    bool delayed = false;
  };
  using Disturbance = void (Soak::*)();

  void WriteConfiguration();
  int Slots() const;
  void AddServer(bool engine, bool prefill, int version = 1);
  void Register(const Server& server, bool draining);
  void PrepareGateway(int number);
  void StartGateway(Gateway& gateway);
  void RestartGateways();
  // Checks the readiness of each gateway, as the platform's balancer does.
  void CheckReadiness();
  void ScheduleFault();
  void ScheduleKillsInTurn();
  // Disturbs all backend servers of a service, independently of other faults.
  void ScheduleServiceFault();
  // Ends streams of an engine inside an event, independently of other faults.
  void ScheduleCutStreams();
  void ScheduleResets();
  // Lets servers of one service name limits for a while, again and again.
  void ScheduleRateLimits();
  // Returns the mean over the last second.
  double ArrivalsPerSecond(const Server& server) const;
  void LimitRate(Server& server, bool whole_service, base::Milliseconds time);
  // Replaces servers by such of the same or the next version, again and again.
  void ScheduleReleases();
  // Returns the store to a copy some seconds old, again and again.
  void ScheduleDrills();
  // Kills, stops or pauses a gateway, again and again.
  void ScheduleGatewayFaults();
  // Lets servers, the store or others answer or send without end for a while,
  // again and again.
  void ScheduleSpoiltBytes();
  // Returns how long the spell and the pause after it take.
  base::Milliseconds Spoil(const std::string& name);
  // Draws one or several.
  base::Milliseconds SpoilAny();
  // Spoils `of_each` servers of each service, but not the last one.
  void SpoilWorkers(const EndlessBytes& bytes,
                    size_t of_each,
                    base::Milliseconds time);
  // `of_service` servers serve the same as this one.
  void SpoilWorker(Server& server,
                   const EndlessBytes& bytes,
                   int64_t of_service,
                   base::Instant begun,
                   base::Milliseconds time);
  void SpoilStore(const EndlessBytes& bytes, base::Milliseconds time);
  void SpoilUsage(const EndlessBytes& bytes, base::Milliseconds time);
  void SpoilStoreFromStart();
  void SendEndlessRequests(const EndlessBytes& bytes, base::Milliseconds time);
  // Adds entries of almost 1 MB to the store, one after the other, and removes
  // them in the end.
  void AddLargeEntries(const std::string& name, base::Milliseconds time);
  void AddLargeEntry(const std::string& name,
                     int64_t number,
                     base::Instant until);
  // Does what the platform does with a process that exceeds its memory.
  void CheckMemory();
  // Makes the engine unreachable and starts another one later.
  void OnEngineCrash(Server& server);
  void RunAfter(base::Milliseconds wait, std::function<void()> then);
  base::Milliseconds RandomDuration(int min, int max);
  template <typename Items>
  auto& Pick(Items& items) {
    return items[this->generator() % items.size()];
  }
  void LogEvent(const std::string& what);

  // Faults and planned operations.
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

  void EndFaults();
  void OnUsage(const std::shared_ptr<net::Exchange>& exchange);
  void CheckRuns();
  void CheckAnswers();
  void CheckReports();
  void CheckRetries();
  void CheckPoisonPart();
  void CheckRateLimits();
  void CheckServedBesideLimits();
  void CheckStreamVersions();
  void CheckStreamsTakenUp();
  // Returns how many decode engines of the version took requests at that time.
  int64_t ServingEngines(const std::string& version, base::Instant at) const;
  // No server that spoils its answers got more than its share.
  void CheckSpoiltShares();
  // What a sound server ran was answered.
  void CheckLostBesideSpoiltBytes();
  // Returns whether the gateway was killed, stopping or paused at any time
  // while the request ran.
  bool WasDisturbed(const CallerCall& call) const;
  void CheckProgress(size_t first_call);
  void AddComplaint(const std::string& what);

  SoakSettings settings;
  std::mt19937 generator;
  // Separate generators for service faults and cut streams, so that they don't
  // change which other faults a seed draws.
  std::mt19937 service_generator;
  std::mt19937 stream_generator;
  std::mt19937 drill_generator;
  std::mt19937 spoil_generator;
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
  // When each key was withdrawn.
  std::map<std::string, base::Instant> withdrawn;
  std::vector<Report> reports;
  std::vector<base::Instant> crashes;
  std::vector<RateLimitTime> rate_limits;
  std::vector<SpoiltTime> spoilt_times;
  std::vector<std::unique_ptr<EndlessCaller>> endless_callers;
  std::vector<std::string> complaints;
  int64_t plan_version = 0;
  int64_t last_server = 0;
  int64_t last_key = 0;
  int64_t timeout_ms = 3000;
  base::Instant start_time;
  bool faults_over = false;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_SOAK_H_
