// A small deployment for the cases of the review: a store, the platform's API
// for usage reports, gateways as separate processes behind links, and clients
// with kept connections.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "../../tests/platform/backend.h"
#include "../../tests/platform/link.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/net/http_client.h"
#include "store.hpp"

namespace review {

using carawayvalve::tests::Backend;
using carawayvalve::tests::BackendRun;
using carawayvalve::tests::Link;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kHost[] = "bench.example";

// One gateway process, started with the command of the deploy file.
struct Gateway {
  std::string name;
  std::string settings_path;
  std::string log_path;
  std::string callers;
  std::string readiness;
  std::unique_ptr<Link> store_link;
  std::unique_ptr<Link> usage_link;
  pid_t pid = 0;
  bool ready = false;
  std::unique_ptr<net::Call> readiness_call;
};

// One usage report as the platform has seen it.
struct Report {
  int64_t at_ms = 0;
  std::string holder;
  int64_t fence = 0;
  int64_t window = 0;
  std::string counts;
};

class Lab {
 public:
  // `folder` takes the record, `scratch` the settings and logs.
  Lab(const std::string& program,
      const std::string& folder,
      const std::string& scratch)
      : program(program),
        scratch(scratch),
        record_file(folder + "/record.txt"),
        store(this->loop),
        usage(this->loop, {"127.0.0.1", 0},
              [this](const auto& exchange) { this->OnUsage(exchange); }),
        balancer(this->loop, seconds(5)),
        start(base::Now()) {
    mkdir(scratch.c_str(), 0700);
  }

  int64_t Ms() const { return base::ToMilliseconds(base::Now() - this->start); }

  void Note(const std::string& text) {
    this->record_file << this->Ms() << " ms " << text << std::endl;
  }

  void After(milliseconds wait, std::function<void()> then) {
    this->timers.push_back(std::make_unique<net::Timer>(this->loop));
    this->timers.back()->Start(wait, std::move(then));
  }
  void Every(milliseconds interval, std::function<void()> then) {
    this->After(interval, [this, interval, then] {
      then();
      this->Every(interval, then);
    });
  }

  static json Route(const std::string& name,
                    const std::string& kind,
                    const std::string& service,
                    int64_t timeout_ms,
                    bool resumable = false) {
    return {{"name", name},
            {"host", kHost},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeoutMs", timeout_ms},
            {"sloMs", 800},
            {"service", service},
            {"maxAttempts", 1},
            {"priority", 1},
            {"resumable", resumable}};
  }

  void PutConfiguration(const json& routes, const json& services) {
    this->store.Put(
        "config", "main",
        {{"version", ++this->version},
         {"routes", routes},
         {"services", services},
         {"limits",
          {{"maxHeaderBytes", 16384},
           {"maxBodyBytes", 4194304},
           {"headerTimeoutMs", 5000},
           {"idleTimeoutMs", 10000}}},
         {"tenants",
          json::array({json{{"name", "guild"},
                            {"apiKeys", json::array({"key-guild"})}}})}});
  }

  void PutServer(const std::string& id,
                 const std::string& service,
                 uint16_t port,
                 int64_t slots,
                 const std::string& state = "up",
                 const std::string& software = "v1") {
    this->store.Put("servers", id,
                    {{"service", service},
                     {"addr", "127.0.0.1:" + std::to_string(port)},
                     {"zone", "zone-a"},
                     {"version", software},
                     {"slots", slots},
                     {"state", state},
                     {"coldLeftMs", 0},
                     {"born", 1700000000000}});
  }

  // The settings are those of the template for a small deployment, with free
  // ports.
  Gateway& AddGateway(const std::string& name) {
    auto gateway = std::make_unique<Gateway>();
    gateway->name = name;
    gateway->settings_path = this->scratch + "/" + name + ".json";
    gateway->log_path = this->scratch + "/" + name + ".log";
    gateway->store_link = std::make_unique<Link>(this->loop, this->store.port());
    gateway->usage_link = std::make_unique<Link>(this->loop, this->usage.port());
    gateway->callers = this->FreeAddress();
    gateway->readiness = this->FreeAddress();
    const json settings = {
        {"host", name},
        {"data_centre", "zone-a"},
        {"listen",
         {{"callers", gateway->callers},
          {"readiness", gateway->readiness},
          {"metrics", this->FreeAddress()},
          {"peers", this->FreeAddress()}}},
        {"store", {{"address", gateway->store_link->address()}}},
        {"duties",
         {{"address", gateway->usage_link->address()},
          {"usage_window_s", 5},
          {"usage_late_s", 10},
          {"lease_ms", 3000}}},
        {"bounds",
         {{"key_withdrawal_ms", 5000},
          {"stop_s", 8},
          {"retry_ratio", 0.2},
          {"retry_slack", 54},
          {"retry_window_s", 10}}},
        {"rule_parts",
         {"base", "drain", "config", "cost", "retry", "recover", "split",
          "stream", "engine", "tenants", "leader", "platform"}},
        {"log", {{"level", "info"}, {"max_buffered_kb", 256}}}};
    std::ofstream(gateway->settings_path) << settings.dump(2);
    this->gateways.push_back(std::move(gateway));
    return *this->gateways.back();
  }

  void Start(Gateway& gateway) {
    gateway.pid = fork();
    if (gateway.pid < 0) {
      throw std::runtime_error("can't start a process");
    }
    if (gateway.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(gateway.log_path.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      for (int descriptor = 3; descriptor < 4096; ++descriptor) {
        close(descriptor);
      }
      setenv("CARAWAYVALVE_CONFIG", gateway.settings_path.c_str(), 1);
      execl(this->program.c_str(), this->program.c_str(), "gateway", nullptr);
      _exit(127);
    }
    this->Note("start " + gateway.name);
  }

  // Returns whether the process runs; reaps it otherwise.
  bool Runs(Gateway& gateway) {
    int status = 0;
    if (gateway.pid > 0 && waitpid(gateway.pid, &status, WNOHANG) != 0) {
      this->Note(gateway.name + " has ended, status " + std::to_string(status));
      gateway.pid = 0;
    }
    return gateway.pid > 0;
  }

  void Kill(Gateway& gateway) {
    if (gateway.pid > 0) {
      kill(gateway.pid, SIGKILL);
      waitpid(gateway.pid, nullptr, 0);
      gateway.pid = 0;
    }
  }

  // Asks each gateway once a second whether it is ready.
  void CheckReadiness() {
    for (auto& gateway : this->gateways) {
      Gateway* const one = gateway.get();
      one->readiness_call = this->balancer.Start(
          base::ParseAddress(one->readiness), {"GET", "/api/ready", {}, {}}, {},
          [one](const net::CallEvent& event) {
            if (const auto* head = std::get_if<net::CallHead>(&event)) {
              one->ready = head->head.status == 200;
            } else if (std::holds_alternative<net::CallFailed>(event)) {
              one->ready = false;
            }
          });
    }
    this->After(seconds(1), [this] { this->CheckReadiness(); });
  }

  bool AllReady() const {
    for (const auto& gateway : this->gateways) {
      if (!gateway->ready) {
        return false;
      }
    }
    return true;
  }

  std::string FreeAddress() {
    static uint16_t next = static_cast<uint16_t>((getpid() * 64) % 12000);
    while (true) {
      const auto port = static_cast<uint16_t>(20000 + next++ % 12000);
      try {
        const net::HttpServer probe(this->loop, {"127.0.0.1", port},
                                    [](const auto&) {});
        return "127.0.0.1:" + std::to_string(port);
      } catch (const base::Error&) {
        // In use.
      }
    }
  }

  void OnUsage(const std::shared_ptr<net::Exchange>& exchange) {
    const net::Request& request = exchange->request();
    const std::string* holder = net::FindField(request.fields, "X-Duty-Holder");
    const std::string* fence = net::FindField(request.fields, "X-Fence-Token");
    const json body = json::parse(request.body, nullptr, false);
    if (holder != nullptr && fence != nullptr && body.contains("window")) {
      this->reports.push_back({this->Ms(), *holder, std::stoll(*fence),
                               body["window"].get<int64_t>(),
                               body["counts"].dump()});
      this->Note("usage report: holder " + *holder + ", fence " + *fence + ", " +
                 request.body);
    }
    exchange->Respond({{200, {}}, "{}"});
  }

  std::string program;
  std::string scratch;
  std::ofstream record_file;
  net::EventLoop loop;
  DrillStore store;
  net::HttpServer usage;
  net::HttpClient balancer;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<net::Timer>> timers;
  std::vector<Report> reports;
  std::vector<BackendRun> runs;
  int64_t version = 0;
  base::Instant start;
};

// A client request and what came of it.
struct Sent {
  std::string id;
  std::string gateway;
  std::string path;
  int64_t sent_ms = 0;
  int64_t ended_ms = -1;
  int status = 0;
  size_t bytes = 0;
  bool complete = false;
  bool closed = false;
  bool kept = false;
  std::string reason;
  std::unique_ptr<net::Call> call;
};

// Sends requests and records their answers. Connections are kept.
class Clients {
 public:
  explicit Clients(Lab& lab) : lab(lab), client(lab.loop, seconds(8)) {}

  Sent& Send(Gateway& gateway,
             const std::string& method,
             const std::string& path,
             net::HeaderFields extra,
             const std::string& body,
             int64_t deadline_ms) {
    auto owned = std::make_unique<Sent>();
    Sent* const sent = owned.get();
    sent->id = "r" + std::to_string(++this->last);
    sent->gateway = gateway.name;
    sent->path = path;
    sent->sent_ms = this->lab.Ms();
    net::Request request{method,
                         path,
                         {{"Host", kHost},
                          {"X-Request-Id", sent->id},
                          {"X-Deadline-Ms", std::to_string(deadline_ms)},
                          {"X-Credential", "key-guild"}},
                         body};
    request.fields.insert(request.fields.end(), extra.begin(), extra.end());
    sent->call = this->client.Start(
        base::ParseAddress(gateway.callers), request, {},
        [this, sent](const net::CallEvent& event) { this->On(*sent, event); });
    this->all.push_back(std::move(owned));
    return *sent;
  }

  std::vector<std::unique_ptr<Sent>> all;

 private:
  void On(Sent& sent, const net::CallEvent& event) {
    if (const auto* out = std::get_if<net::CallSent>(&event)) {
      sent.kept = out->kept_connection;
    } else if (const auto* head = std::get_if<net::CallHead>(&event)) {
      sent.status = head->head.status;
    } else if (const auto* part = std::get_if<net::CallBody>(&event)) {
      sent.bytes += part->data.size();
    } else {
      sent.ended_ms = this->lab.Ms();
      sent.complete = std::holds_alternative<net::CallDone>(event);
      if (const auto* failed = std::get_if<net::CallFailed>(&event)) {
        sent.closed = !failed->not_sent;
        sent.reason = failed->reason;
      }
      this->lab.Note("request " + sent.id + " " + sent.path + " to " +
                     sent.gateway + " sent at " + std::to_string(sent.sent_ms) +
                     (sent.kept ? " on a kept connection" : "") + ": status " +
                     std::to_string(sent.status) +
                     (sent.complete ? ", complete" : ", " + sent.reason));
    }
  }

  Lab& lab;
  net::HttpClient client;
  int64_t last = 0;
};

// Runs a case: PROGRAM FOLDER SCRATCH TROUBLE. Ends the process, as threads and
// connections of stand-ins are still in use.
template <typename Case>
int Main(int argc, char** argv, const Case& run) {
  int result = 2;
  if (argc != 5) {
    std::cerr << argv[0] << " PROGRAM FOLDER SCRATCH TROUBLE\n";
    return result;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    // Never destroyed.
    Lab& lab = *new Lab(argv[1], argv[2], argv[3]);
    try {
      result = run(lab, std::string(argv[4]) != "0");
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
    }
    for (auto& gateway : lab.gateways) {
      lab.Kill(*gateway);
    }
    for (const BackendRun& one : lab.runs) {
      lab.Note("ran: request " + one.request + " at " + one.backend + " at " +
               std::to_string(base::ToMilliseconds(one.at - lab.start)) +
               " ms" +
               (one.resumed_after.empty()
                    ? ""
                    : ", on from event " + one.resumed_after));
    }
    lab.Note("all processes have ended");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  std::cout.flush();
  _exit(result);
}

}  // namespace review
