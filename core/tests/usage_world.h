#ifndef CARAWAYVALVE_CORE_TESTS_USAGE_WORLD_H_
#define CARAWAYVALVE_CORE_TESTS_USAGE_WORLD_H_

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/core/usage_reporting.h"
#include "lease_simulation.h"

namespace carawayvalve::core::model {

// Agents, entry processes that collect from them, and a store and a usage
// interface that fail at will. Any number of the processes believe that they
// hold the duty, each with its own epoch.
class UsageWorld {
 public:
  using Totals = std::map<int64_t, AccountUsage>;

  // Long enough for several windows.
  static RandomChoices DrawChoices() {
    constexpr int64_t kMostDraws = 15000;
    return RandomChoices::Draw(kMostDraws);
  }

  UsageWorld(RandomChoices& choices, int64_t kept_windows) : choices(choices) {
    this->terms.window = Milliseconds(10);
    this->terms.grace = Milliseconds(5);
    this->terms.report_timeout = Milliseconds(3);
    this->terms.least_report_pause = Milliseconds(1);
    this->terms.most_report_pause = Milliseconds(2);
    this->terms.kept_windows = kept_windows;
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

  // Ends all faults and lets one holder go on until nothing is left to report.
  void Settle() {
    this->reported_before = this->reports.size();
    this->choices = RandomChoices(0, 0);
    while (!this->late_writes.empty()) {
      this->ApplyLate();
    }
    Process& last = this->processes.front();
    this->Hold(last);
    // Collectors that live have told all they know, and agents that live too.
    for (const Process& other : this->processes) {
      last.collected.Merge(other.collected);
    }
    for (int round = 0; round < 40; ++round) {
      for (Agent& agent : this->agents) {
        this->Collect(last, agent, true);
      }
      this->now += this->terms.window;
      do {
        this->Act(last);
      } while (last.pending);
    }
    const UsageProgress& progress = *last.holder->progress();
    RC_ASSERT(progress.reported >= progress.open - 3);
  }

  // What all reports that were taken say of each window.
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

  // What agents that live have counted, and what is known of the others.
  Totals Known() const {
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
      totals[window] = TotalsOf(all.Of(window));
    }
    return totals;
  }

  // What agents that live have counted, whatever was collected of it.
  UsageFigures CountedByLiving() const {
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

  bool agents_may_die = true;
  size_t reported_before = 0;
  int64_t corrections = 0;
  int64_t seal_conflicts = 0;
  size_t object_count() const { return this->objects.size(); }

 private:
  struct Agent {
    base::BootId boot;
    AgentUsageLedger ledger;
    UsageFigures counted;
    std::vector<UsageCounter> old_answer;
  };
  struct Process {
    UsageCollection collected;
    int64_t open = 0;
    std::shared_ptr<UsageReporting> holder;
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
    // One process at a time runs faster than the others.
    Process& any = this->processes[draw / 3 % 3];
    Process& process = rest % 4 == 0 ? any : this->processes[this->favoured];
    if (kind < 8) {
      const UsageFigures figures{1, rest % 4, 2};
      agent.ledger.Count({rest % 2 == 0 ? "north" : "south"}, figures);
      agent.counted = agent.counted + figures;
    } else if (kind < 16) {
      this->Collect(process, agent, rest % 3 > 0);
    } else if (kind == 16) {
      // An answer that was overtaken by a newer one.
      this->Merge(process, agent, agent.old_answer);
    } else if (kind < 22) {
      this->now += Milliseconds(rest % 8);
    } else if (kind == 22 && rest % 3 == 0) {
      this->Hold(any);
    } else if (kind < 25) {
      this->ApplyLate();
    } else if (kind == 27) {
      this->favoured = draw / 3 % 3;
    } else if (kind == 25 && rest % 3 == 0) {
      process = {};
    } else if (kind == 26 && this->agents_may_die) {
      agent = this->NewAgent();
    } else {
      this->Act(process);
    }
  }

  void Hold(Process& process) {
    this->last_epoch += 1;
    process.holder = std::make_shared<UsageReporting>(
        base::RegionId{"region"},
        UsageWriter{{"p" + std::to_string(this->last_epoch)}, this->last_epoch},
        this->terms);
    process.pending.reset();
  }

  // An agent that isn't told of a new window goes on counting into the old one.
  void Collect(Process& process, Agent& agent, bool tell_window) {
    if (process.holder && process.holder->progress() != nullptr) {
      process.open = std::max(process.open, process.holder->progress()->open);
    }
    if (tell_window) {
      agent.ledger.Begin(process.open);
    }
    agent.old_answer = agent.ledger.Since(0);
    agent.ledger.MarkTold(0);
    this->Merge(process, agent, agent.old_answer);
  }

  static void Merge(Process& process,
                    const Agent& agent,
                    const std::vector<UsageCounter>& counters) {
    for (const UsageCounter& counter : counters) {
      process.open = std::max(process.open, counter.window);
      process.collected.Merge(agent.boot, counter);
    }
  }

  // Lets a holder get one answer.
  void Act(Process& process) {
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
    const int64_t fate = this->choices.Below(20);
    if (fate == 16) {
      return UsageCallFailed{};
    }
    if (fate == 17 || fate == 18) {
      this->late_writes.push_back(action);
      return UsageWriteLost{};
    }
    const int64_t version = this->Write(action);
    if (fate == 19) {
      return UsageWriteLost{};
    }
    return version == 0 ? UsageEvent(UsageWriteRefused{})
                        : UsageEvent(UsageWriteDone{version});
  }

  UsageEvent Perform(Process&, const DeleteUsageObject& action) {
    const Key key{action.id.kind, action.id.window};
    if (this->VersionOf(key) != action.if_version) {
      return UsageWriteRefused{};
    }
    this->objects.erase(key);
    return this->choices.OneIn(8) ? UsageEvent(UsageWriteLost{})
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
    const int64_t fate = this->choices.Below(8);
    if (fate == 7) {
      return UsageReportLost{};
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
    return fate == 6 ? UsageEvent(UsageReportLost{})
                     : UsageEvent(UsageReportTaken{});
  }

  int64_t VersionOf(const Key& key) const {
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
  }

  // Returns the new version, 0 when the object had another one than expected.
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

  void ApplyLate() {
    if (this->late_writes.empty()) {
      return;
    }
    const auto write =
        this->late_writes.begin() +
        this->choices.Below(static_cast<int64_t>(this->late_writes.size()));
    this->Write(*write);
    this->late_writes.erase(write);
  }

  RandomChoices& choices;
  UsageTerms terms;
  Instant now;
  std::vector<Agent> agents;
  std::vector<Process> processes;
  std::map<Key, Entry> objects;
  std::vector<WriteUsageObject> late_writes;
  std::map<std::string, UsageReport> reports;
  int64_t revision = 0;
  int64_t last_epoch = 0;
  int64_t favoured = 0;
  int64_t last_boot = 0;
};

}  // namespace carawayvalve::core::model

#endif  // CARAWAYVALVE_CORE_TESTS_USAGE_WORLD_H_
