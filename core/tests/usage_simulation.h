#ifndef CARAWAYVALVE_CORE_TESTS_USAGE_SIMULATION_H_
#define CARAWAYVALVE_CORE_TESTS_USAGE_SIMULATION_H_

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/core/usage_reporter.h"
#include "lease_simulation.h"

namespace carawayvalve::core::model {

// Simulates agents, entry processes that collect from them, and a store and a
// usage interface with injected faults. Any number of processes may act as
// holder of the duty at the same time, each with its own epoch.
class UsageSimulation {
 public:
  using Totals = std::map<int64_t, AccountUsage>;

  // Draws enough choices for several windows.
  static RandomChoices DrawChoices() {
    constexpr int64_t kMaxDraws = 15000;
    return RandomChoices::Draw(kMaxDraws);
  }

  UsageSimulation(RandomChoices& choices, int64_t kept_windows)
      : choices(choices) {
    this->options.window_length = Milliseconds(10);
    this->options.grace_period = Milliseconds(5);
    this->options.report_timeout = Milliseconds(3);
    this->options.min_report_backoff = Milliseconds(1);
    this->options.max_report_backoff = Milliseconds(2);
    this->options.kept_windows = kept_windows;
    for (int i = 0; i < 3; ++i) {
      this->agents.push_back(this->NewAgent());
      this->processes.emplace_back();
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      this->Step();
    }
  }

  // Ends all faults and lets one holder run until all usage is reported.
  void ReportAll() {
    this->reported_before = this->reports.size();
    this->choices = RandomChoices(0, 0);
    while (!this->delayed_writes.empty()) {
      this->ApplyDelayedWrite();
    }
    Process& last = this->processes.front();
    this->StartHolder(last);
    // All usage that running collectors and agents have reaches this holder.
    for (const Process& other : this->processes) {
      last.collected.Merge(other.collected);
    }
    for (int round = 0; round < 40; ++round) {
      for (Agent& agent : this->agents) {
        this->Collect(last, agent, true);
      }
      this->now += this->options.window_length;
      do {
        this->Advance(last);
      } while (last.pending);
    }
    const UsageProgress& progress = *last.holder->progress();
    RC_ASSERT(progress.reported >= progress.open - 3);
  }

  // Returns the usage of each window over all accepted reports.
  Totals Reported() const {
    Totals totals;
    for (const auto& [id, report] : this->reports) {
      for (const UsageReportLine& line : report.lines) {
        UsageFigures& figures =
            totals[line.correction_of.value_or(report.window)]
                  [line.client_account];
        figures = figures + line.figures;
      }
    }
    return totals;
  }

  // Returns the usage that processes have collected or stored in parts.
  Totals Collected() const {
    UsageCollection all;
    for (const Process& process : this->processes) {
      all.Merge(process.collected);
    }
    for (const auto& [id, entry] : this->objects) {
      if (const auto* part = std::get_if<UsagePart>(&entry.object)) {
        for (const auto& [boot, accounts] : part->counters) {
          for (const auto& [account, figures] : accounts) {
            all.Merge(boot, {account, id.second, figures});
          }
        }
      }
    }
    Totals totals;
    for (const int64_t window : all.Windows()) {
      totals[window] = TotalsOf(all.UsageOf(window));
    }
    return totals;
  }

  // Returns the usage that running agents have counted, collected or not.
  UsageFigures CountedByRunningAgents() const {
    UsageFigures sum;
    for (const Agent& agent : this->agents) {
      sum = sum + agent.counted;
    }
    return sum;
  }

  static UsageFigures Sum(const Totals& totals) {
    UsageFigures sum;
    for (const auto& [window, accounts] : totals) {
      for (const auto& [account, figures] : accounts) {
        sum = sum + figures;
      }
    }
    return sum;
  }

  bool agents_may_crash = true;
  size_t reported_before = 0;
  int64_t corrections = 0;
  int64_t seal_conflicts = 0;
  size_t object_count() const { return this->objects.size(); }

 private:
  struct Agent {
    base::BootId boot;
    AgentUsageLedger ledger;
    UsageFigures counted;
    std::vector<UsageCounter> stale_answer;
  };
  struct Process {
    UsageCollection collected;
    int64_t open = 0;
    std::shared_ptr<UsageReporter> holder;
    std::optional<UsageAction> pending;
  };
  using Key = std::pair<UsageObjectKind, int64_t>;
  struct Entry {
    UsageObject object;
    int64_t version = 0;
  };

  Agent NewAgent() {
    this->last_boot += 1;
    return {
        {"boot" + std::to_string(this->last_boot)}, AgentUsageLedger(), {}, {}};
  }

  void Step() {
    const int64_t kind = this->choices.Below(64);
    const int64_t draw = this->choices.Below(1 << 20);
    Agent& agent = this->agents[draw % 3];
    const int64_t rest = draw / 9;
    // One process runs faster than the others.
    Process& random_process = this->processes[draw / 3 % 3];
    Process& process =
        rest % 4 == 0 ? random_process : this->processes[this->fast_process];
    if (kind < 8) {
      const UsageFigures figures{1, rest % 4, 2};
      agent.ledger.Count({rest % 2 == 0 ? "north" : "south"}, figures);
      agent.counted = agent.counted + figures;
    } else if (kind < 16) {
      this->Collect(process, agent, rest % 3 > 0);
    } else if (kind == 16) {
      // An older answer arrives after a newer one.
      this->Merge(process, agent, agent.stale_answer);
    } else if (kind < 22) {
      this->now += Milliseconds(rest % 8);
    } else if (kind == 22 && rest % 3 == 0) {
      this->StartHolder(random_process);
    } else if (kind < 25) {
      this->ApplyDelayedWrite();
    } else if (kind == 27) {
      this->fast_process = draw / 3 % 3;
    } else if (kind == 25 && rest % 3 == 0) {
      process = {};
    } else if (kind == 26 && this->agents_may_crash) {
      agent = this->NewAgent();
    } else {
      this->Advance(process);
    }
  }

  void StartHolder(Process& process) {
    this->last_epoch += 1;
    process.holder = std::make_shared<UsageReporter>(
        base::RegionId{"region"},
        UsageWriter{{"p" + std::to_string(this->last_epoch)}, this->last_epoch},
        this->options);
    process.pending.reset();
  }

  // An agent to which a new window isn't announced keeps counting into the old
  // one.
  void Collect(Process& process, Agent& agent, bool announce_window) {
    if (process.holder && process.holder->progress() != nullptr) {
      process.open = std::max(process.open, process.holder->progress()->open);
    }
    if (announce_window) {
      agent.ledger.BeginWindow(process.open);
    }
    agent.stale_answer = agent.ledger.CountersSince(0);
    agent.ledger.MarkCollected(0);
    this->Merge(process, agent, agent.stale_answer);
  }

  static void Merge(Process& process,
                    const Agent& agent,
                    const std::vector<UsageCounter>& counters) {
    for (const UsageCounter& counter : counters) {
      process.open = std::max(process.open, counter.window);
      process.collected.Merge(agent.boot, counter);
    }
  }

  // Performs the pending call of a holder, if any, and passes on its answer.
  void Advance(Process& process) {
    if (!process.holder) {
      return;
    }
    UsageEvent answer = UsageTick{};
    if (process.pending) {
      answer = std::visit(
          [&](const auto& action) { return this->Perform(process, action); },
          *process.pending);
    }
    process.pending =
        process.holder->Step(answer, process.collected, this->now);
  }

  UsageEvent Perform(Process&, const ReadUsageObject& action) {
    if (this->choices.OneIn(16)) {
      return UsageCallFailed{};
    }
    const auto found = this->objects.find({action.id.kind, action.id.window});
    if (found == this->objects.end()) {
      return UsageObjectRead{};
    }
    return UsageObjectRead{found->second.object, found->second.version};
  }

  UsageEvent Perform(Process&, const WriteUsageObject& action) {
    const int64_t outcome = this->choices.Below(20);
    if (outcome == 16) {
      return UsageCallFailed{};
    }
    if (outcome == 17 || outcome == 18) {
      this->delayed_writes.push_back(action);
      return UsageWriteUncertain{};
    }
    const int64_t version = this->Write(action);
    if (outcome == 19) {
      return UsageWriteUncertain{};
    }
    return version == 0 ? UsageEvent(UsageWriteConflict{})
                        : UsageEvent(UsageWriteDone{version});
  }

  UsageEvent Perform(Process&, const DeleteUsageObject& action) {
    const Key key{action.id.kind, action.id.window};
    if (this->VersionOf(key) != action.if_version) {
      return UsageWriteConflict{};
    }
    this->objects.erase(key);
    return this->choices.OneIn(8) ? UsageEvent(UsageWriteUncertain{})
                                  : UsageEvent(UsageWriteDone{0});
  }

  UsageEvent Perform(Process& process, const GatherUsage&) {
    for (const Process& other : this->processes) {
      if (this->choices.OneIn(2)) {
        process.collected.Merge(other.collected);
      }
    }
    return UsageGathered{};
  }

  UsageEvent Perform(Process&, const SendUsageReport& action) {
    const int64_t outcome = this->choices.Below(8);
    if (outcome == 7) {
      return UsageReportUnanswered{};
    }
    const auto [known, added] =
        this->reports.emplace(action.report.report_id, action.report);
    RC_ASSERT(known->second == action.report);
    for (const auto& [id, report] : this->reports) {
      RC_ASSERT(id == known->first || report.window != action.report.window);
    }
    if (added) {
      this->corrections += std::count_if(
          action.report.lines.begin(), action.report.lines.end(),
          [](const auto& line) { return line.correction_of.has_value(); });
    }
    return outcome == 6 ? UsageEvent(UsageReportUnanswered{})
                        : UsageEvent(UsageReportAccepted{});
  }

  int64_t VersionOf(const Key& key) const {
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
  }

  // Returns the new version, or 0 on a version conflict.
  int64_t Write(const WriteUsageObject& action) {
    const Key key{action.id.kind, action.id.window};
    if (this->VersionOf(key) != action.if_version) {
      this->seal_conflicts += key.first == UsageObjectKind::kSeal ? 1 : 0;
      return 0;
    }
    this->revision += 1;
    this->objects[key] = {
        DecodeUsageObject(key.first, EncodeUsageObject(action.object)),
        this->revision};
    return this->revision;
  }

  void ApplyDelayedWrite() {
    if (this->delayed_writes.empty()) {
      return;
    }
    const auto write =
        this->delayed_writes.begin() +
        this->choices.Below(static_cast<int64_t>(this->delayed_writes.size()));
    this->Write(*write);
    this->delayed_writes.erase(write);
  }

  RandomChoices& choices;
  UsageReporterOptions options;
  Instant now;
  std::vector<Agent> agents;
  std::vector<Process> processes;
  std::map<Key, Entry> objects;
  std::vector<WriteUsageObject> delayed_writes;
  std::map<std::string, UsageReport> reports;
  int64_t revision = 0;
  int64_t last_epoch = 0;
  int64_t fast_process = 0;
  int64_t last_boot = 0;
};

}  // namespace carawayvalve::core::model

#endif  // CARAWAYVALVE_CORE_TESTS_USAGE_SIMULATION_H_
