// proof 8: No window is reported twice with different figures.

#include "carawayvalve/core/usage_reporting.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "usage_world.h"

namespace carawayvalve::core {

namespace {

using base::Instant;
using base::Milliseconds;

constexpr int64_t kManyWindows = 1000000;
constexpr int kSteps = 8000;

const base::RegionId kRegion{"region"};
const base::ClientAccountId kNorth{"north"};

// A store and a usage interface without faults.
struct Platform {
  UsageEvent operator()(const ReadUsageObject& action) {
    const auto found = this->objects.find(Name(action.id));
    return found == this->objects.end() ? UsageObjectRead() : found->second;
  }
  UsageEvent operator()(const WriteUsageObject& action) {
    UsageObjectRead& present = this->objects[Name(action.id)];
    if (present.version != action.if_version) {
      return UsageWriteRefused{};
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
  UsageEvent answer_to_report = UsageReportTaken{};
  std::vector<UsageReport> sent;
};

// One holder, with what it has collected.
struct Holder {
  explicit Holder(int64_t epoch, const UsageTerms& terms = {})
      : reporting(kRegion, {{"p"}, epoch}, terms) {}

  // Makes calls until there are none left, or `most` of them.
  void Work(Platform& platform, Instant now, int most = 1000) {
    auto action = this->reporting.Step(UsageTick{}, this->collected, now);
    for (int i = 0; action && i < most; ++i) {
      action = this->reporting.Step(std::visit(platform, *action),
                                    this->collected, now);
    }
  }

  UsageReporting reporting;
  UsageCollection collected;
};

}  // namespace

TEST_CASE("UsageReporting") {
  const UsageTerms terms;
  const Instant start(std::chrono::hours(1));
  const Instant closed = start + terms.window;
  const Instant sealed = closed + terms.grace;
  Platform platform;
  Holder holder(1);
  holder.collected.Merge({"boot"}, {kNorth, 1, {2, 20, 7}});
  holder.Work(platform, start);
  CHECK(holder.reporting.progress()->open == 1);
  holder.Work(platform, closed);

  SUBCASE("closes a window, and stores what is known of it at once") {
    CHECK(holder.reporting.progress()->open == 2);
    const auto part = platform.Get<UsagePart>(UsageObjectKind::kPart, 1);
    CHECK(TotalsOf(part.counters).at(kNorth) == UsageFigures{2, 20, 7});
    CHECK(platform.sent.empty());
  }

  SUBCASE("seals it after the grace time and reports the seal") {
    holder.collected.Merge({"boot"}, {kNorth, 1, {3, 30, 9}});
    holder.Work(platform, sealed);
    REQUIRE(platform.sent.size() == 1);
    CHECK(platform.sent[0].report_id == "usage-region-1");
    const std::vector<UsageReportLine> lines = {{kNorth, {3, 30, 9}, {}}};
    CHECK(platform.sent[0].lines == lines);
    CHECK(holder.reporting.progress()->reported == 1);
    const auto seal = platform.Get<UsageSeal>(UsageObjectKind::kSeal, 1);

    SUBCASE("late usage is a named correction in a later report") {
      holder.collected.Merge({"other"}, {kNorth, 1, {1, 1, 1}});
      holder.collected.Merge({"boot"}, {kNorth, 2, {5, 0, 0}});
      holder.Work(platform, sealed + terms.window);
      holder.Work(platform, sealed + terms.window + terms.grace);
      REQUIRE(platform.sent.size() == 2);
      const std::vector<UsageReportLine> corrected = {{kNorth, {1, 1, 1}, 1},
                                                      {kNorth, {5, 0, 0}, {}}};
      CHECK(platform.sent[1].lines == corrected);
      CHECK(platform.Get<UsageSeal>(UsageObjectKind::kSeal, 1) == seal);
    }
  }

  SUBCASE("ends when a later holder has touched the progress or a part") {
    SUBCASE("the progress, read after a conflict") {
      Holder(2).Work(platform, closed, 2);
    }
    SUBCASE("a part, read after a conflict") {
      Platform after = platform;
      Holder(2).Work(after, closed, 4);
      const auto name = Platform::Name({UsageObjectKind::kPart, 1});
      platform.objects[name] = after.objects[name];
    }
    const auto progress =
        platform.Get<UsageProgress>(UsageObjectKind::kProgress);
    holder.Work(platform, sealed);
    CHECK(holder.reporting.superseded());
    CHECK(platform.sent.empty());
    CHECK(platform.Get<UsageProgress>(UsageObjectKind::kProgress) == progress);
  }

  SUBCASE("repeats a report without an answer, the same") {
    platform.answer_to_report = UsageReportLost{};
    holder.Work(platform, sealed);
    holder.Work(platform, sealed + terms.least_report_pause);
    REQUIRE(platform.sent.size() == 2);
    CHECK(platform.sent[0] == platform.sent[1]);

    SUBCASE("and so does a successor that knows more, after a while") {
      Holder successor(2);
      successor.collected.Merge({"other"}, {kNorth, 1, {1, 1, 1}});
      successor.Work(platform, sealed);
      CHECK(platform.sent.size() == 2);
      successor.Work(platform, sealed + terms.report_timeout);
      REQUIRE(platform.sent.size() == 3);
      CHECK(platform.sent[0] == platform.sent[2]);
    }
  }

  SUBCASE("notes a report that is refused, and goes on") {
    platform.answer_to_report = UsageReportRefused{};
    holder.Work(platform, sealed);
    CHECK(holder.reporting.progress()->refused_reports == 1);
    CHECK(holder.reporting.progress()->reported == 1);
  }

  SUBCASE("writes the progress anew when the answer to it was lost") {
    auto action = holder.reporting.Step(UsageTick{}, {}, closed + terms.window);
    const auto lost = std::get<WriteUsageObject>(*action);
    holder.reporting.Step(UsageWriteLost{}, {}, closed + terms.window);
    holder.Work(platform, closed + terms.window, 2);
    CHECK(std::holds_alternative<UsageWriteRefused>(platform(lost)));
  }

  SUBCASE("closes a window early that has too many counters") {
    holder.reporting.SetTerms({.most_counters = 1});
    holder.collected.Merge({"boot"}, {kNorth, 2, {2, 20, 7}});
    holder.Work(platform, closed);
    CHECK(holder.reporting.progress()->open == 3);
  }
}

TEST_CASE("UsageReporting among holders that all believe they are in charge") {
  CHECK(rc::check(
      "each window has one report, with all that was counted, once", [] {
        model::RandomChoices choices = model::UsageWorld::DrawChoices();
        model::UsageWorld world(choices, kManyWindows);
        world.agents_may_die = false;
        world.Run(kSteps);
        world.Settle();
        RC_ASSERT(world.Reported() == world.Known());
        RC_ASSERT(world.Sum(world.Reported()) == world.CountedByLiving());
        RC_CLASSIFY(world.reported_before > 5, "6+ reports");
        RC_CLASSIFY(world.reported_before > 1, "2+ reports");
        RC_CLASSIFY(world.corrections > 0, "corrections");
        RC_CLASSIFY(world.seal_conflicts > 0, "two drafts of a seal");
      }));
  CHECK(rc::check("what was collected of agents that died is reported", [] {
    model::RandomChoices choices = model::UsageWorld::DrawChoices();
    model::UsageWorld world(choices, kManyWindows);
    world.Run(kSteps);
    world.Settle();
    RC_ASSERT(world.Reported() == world.Known());
  }));
  CHECK(rc::check("old objects go, and nothing is reported twice for it", [] {
    model::RandomChoices choices = model::UsageWorld::DrawChoices();
    model::UsageWorld world(choices, 4);
    world.agents_may_die = false;
    world.Run(kSteps);
    const size_t before = world.object_count();
    world.Settle();
    const UsageFigures counted = world.CountedByLiving();
    const UsageFigures reported = world.Sum(world.Reported());
    RC_ASSERT(MaxOf(counted, reported) == counted);
    RC_ASSERT(world.object_count() <= std::max<size_t>(before, 1 + 2 * 12));
  }));
}

}  // namespace carawayvalve::core
