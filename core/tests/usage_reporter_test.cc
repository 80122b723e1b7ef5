// proof 8: No window is reported twice with different figures.

#include "carawayvalve/core/usage_reporter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "usage_simulation.h"

namespace carawayvalve::core {

namespace {

using base::Instant;
using base::Milliseconds;

constexpr int64_t kManyWindows = 1000000;
constexpr int kSteps = 8000;

const base::RegionId kRegion{"region"};
const base::ClientAccountId kNorth{"north"};

// A store and a usage interface that never fail.
struct Platform {
  UsageEvent operator()(const ReadUsageObject& action) {
    const auto found = this->objects.find(Name(action.id));
    return found == this->objects.end() ? UsageObjectRead() : found->second;
  }
  UsageEvent operator()(const WriteUsageObject& action) {
    UsageObjectRead& present = this->objects[Name(action.id)];
    if (present.version != action.if_version) {
      return UsageWriteConflict{};
    }
    present = {action.object, ++this->revision};
    return UsageWriteDone{this->revision};
  }
  UsageEvent operator()(const DeleteUsageObject& action) {
    this->objects.erase(Name(action.id));
    return UsageWriteDone{};
  }
  UsageEvent operator()(const GatherUsage&) { return UsageGathered{}; }
  UsageEvent operator()(const SendUsageReport& action) {
    this->sent.push_back(action.report);
    return this->answer_to_report;
  }

  static std::string Name(const UsageObjectId& id) {
    return UsageKindName(id.kind) + UsageObjectName(kRegion, id);
  }
  template <typename Object>
  Object& Get(UsageObjectKind kind, int64_t window = 0) {
    return std::get<Object>(*this->objects.at(Name({kind, window})).object);
  }

  std::map<std::string, UsageObjectRead> objects;
  int64_t revision = 0;
  UsageEvent answer_to_report = UsageReportAccepted{};
  std::vector<UsageReport> sent;
};

// A holder of the usage duty and the usage it has collected.
struct Holder {
  explicit Holder(int64_t epoch, const UsageReporterOptions& options = {})
      : reporter(kRegion, {{"p"}, epoch}, options) {}

  // Makes the calls that the reporter asks for, at most `max_calls`.
  void Run(Platform& platform, Instant now, int max_calls = 1000) {
    auto action = this->reporter.Step(UsageTick{}, this->collected, now);
    for (int i = 0; action && i < max_calls; ++i) {
      action = this->reporter.Step(std::visit(platform, *action),
                                   this->collected, now);
    }
  }

  UsageReporter reporter;
  UsageCollection collected;
};

}  // namespace

TEST_CASE("UsageReporter") {
  const UsageReporterOptions options;
  const Instant start(std::chrono::hours(1));
  const Instant closed = start + options.window_length;
  const Instant sealed = closed + options.grace_period;
  Platform platform;
  Holder holder(1);
  holder.collected.Merge({"boot"}, {kNorth, 1, {2, 20, 7}});
  holder.Run(platform, start);
  CHECK(holder.reporter.progress()->open == 1);
  holder.Run(platform, closed);

  SUBCASE("closing a window stores its collected usage at once") {
    CHECK(holder.reporter.progress()->open == 2);
    const auto part = platform.Get<UsagePart>(UsageObjectKind::kPart, 1);
    CHECK(TotalsOf(part.counters).at(kNorth) == UsageFigures{2, 20, 7});
    CHECK(platform.sent.empty());
  }

  SUBCASE("seals a window after the grace period and reports the seal") {
    holder.collected.Merge({"boot"}, {kNorth, 1, {3, 30, 9}});
    holder.Run(platform, sealed);
    REQUIRE(platform.sent.size() == 1);
    CHECK(platform.sent[0].report_id == "usage-region-1");
    const std::vector<UsageReportLine> lines = {{kNorth, {3, 30, 9}, {}}};
    CHECK(platform.sent[0].lines == lines);
    CHECK(holder.reporter.progress()->reported == 1);
    const auto seal = platform.Get<UsageSeal>(UsageObjectKind::kSeal, 1);

    SUBCASE("late usage is reported as a correction in a later report") {
      holder.collected.Merge({"other"}, {kNorth, 1, {1, 1, 1}});
      holder.collected.Merge({"boot"}, {kNorth, 2, {5, 0, 0}});
      holder.Run(platform, sealed + options.window_length);
      holder.Run(platform,
                 sealed + options.window_length + options.grace_period);
      REQUIRE(platform.sent.size() == 2);
      const std::vector<UsageReportLine> corrected = {{kNorth, {1, 1, 1}, 1},
                                                      {kNorth, {5, 0, 0}, {}}};
      CHECK(platform.sent[1].lines == corrected);
      CHECK(platform.Get<UsageSeal>(UsageObjectKind::kSeal, 1) == seal);
    }
  }

  SUBCASE("stops when a later holder has written the progress or a part") {
    SUBCASE("the progress, read after a conflict") {
      Holder(2).Run(platform, closed, 2);
    }
    SUBCASE("a part, read after a conflict") {
      Platform after = platform;
      Holder(2).Run(after, closed, 4);
      const auto name = Platform::Name({UsageObjectKind::kPart, 1});
      platform.objects[name] = after.objects[name];
    }
    const auto progress =
        platform.Get<UsageProgress>(UsageObjectKind::kProgress);
    holder.Run(platform, sealed);
    CHECK(holder.reporter.superseded());
    CHECK(platform.sent.empty());
    CHECK(platform.Get<UsageProgress>(UsageObjectKind::kProgress) == progress);
  }

  SUBCASE("retries an unanswered report unchanged") {
    platform.answer_to_report = UsageReportUnanswered{};
    holder.Run(platform, sealed);
    holder.Run(platform, sealed + options.min_report_backoff);
    REQUIRE(platform.sent.size() == 2);
    CHECK(platform.sent[0] == platform.sent[1]);

    SUBCASE(
        "a successor with more usage resends it unchanged after the timeout") {
      Holder successor(2);
      successor.collected.Merge({"other"}, {kNorth, 1, {1, 1, 1}});
      successor.Run(platform, sealed);
      CHECK(platform.sent.size() == 2);
      successor.Run(platform, sealed + options.report_timeout);
      REQUIRE(platform.sent.size() == 3);
      CHECK(platform.sent[0] == platform.sent[2]);
    }
  }

  SUBCASE("counts a refused report and continues") {
    platform.answer_to_report = UsageReportRefused{};
    holder.Run(platform, sealed);
    CHECK(holder.reporter.progress()->refused_reports == 1);
    CHECK(holder.reporter.progress()->reported == 1);
  }

  SUBCASE("an uncertain write of the progress can't take effect later") {
    auto action =
        holder.reporter.Step(UsageTick{}, {}, closed + options.window_length);
    const auto lost = std::get<WriteUsageObject>(*action);
    holder.reporter.Step(UsageWriteUncertain{}, {},
                         closed + options.window_length);
    holder.Run(platform, closed + options.window_length, 2);
    CHECK(std::holds_alternative<UsageWriteConflict>(platform(lost)));
  }

  SUBCASE("closes a window with too many counters early") {
    holder.reporter.SetOptions({.max_counters = 1});
    holder.collected.Merge({"boot"}, {kNorth, 2, {2, 20, 7}});
    holder.Run(platform, closed);
    CHECK(holder.reporter.progress()->open == 3);
  }
}

TEST_CASE("UsageReporter with concurrent holders") {
  CHECK(rc::check(
      "each window has one report, and all usage is reported once", [] {
        model::RandomChoices choices = model::UsageSimulation::DrawChoices();
        model::UsageSimulation simulation(choices, kManyWindows);
        simulation.agents_may_crash = false;
        simulation.Run(kSteps);
        simulation.ReportAll();
        RC_ASSERT(simulation.Reported() == simulation.Collected());
        RC_ASSERT(simulation.Sum(simulation.Reported()) ==
                  simulation.CountedByRunningAgents());
        RC_CLASSIFY(simulation.reported_before > 5, "6+ reports");
        RC_CLASSIFY(simulation.reported_before > 1, "2+ reports");
        RC_CLASSIFY(simulation.corrections > 0, "corrections");
        RC_CLASSIFY(simulation.seal_conflicts > 0, "two drafts of a seal");
      }));
  CHECK(rc::check("collected usage of crashed agents is reported", [] {
    model::RandomChoices choices = model::UsageSimulation::DrawChoices();
    model::UsageSimulation simulation(choices, kManyWindows);
    simulation.Run(kSteps);
    simulation.ReportAll();
    RC_ASSERT(simulation.Reported() == simulation.Collected());
  }));
  CHECK(rc::check("deleting old objects causes no duplicate billing", [] {
    model::RandomChoices choices = model::UsageSimulation::DrawChoices();
    model::UsageSimulation simulation(choices, 4);
    simulation.agents_may_crash = false;
    simulation.Run(kSteps);
    const size_t before = simulation.object_count();
    simulation.ReportAll();
    const UsageFigures counted = simulation.CountedByRunningAgents();
    const UsageFigures reported = simulation.Sum(simulation.Reported());
    RC_ASSERT(MaxOf(counted, reported) == counted);
    RC_ASSERT(simulation.object_count() <=
              std::max<size_t>(before, 1 + 2 * 12));
  }));
}

}  // namespace carawayvalve::core
