#include "carawayvalve/core/crash_report_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using ReportIds = std::vector<CrashReportTracker::ReportId>;

namespace {

constexpr Milliseconds kLimit(1000);
const CrashRecord kRecord{"content", "crash 1", {}};

}  // namespace

TEST_CASE("a crash is reported to two peers") {
  const Instant now;
  CrashReportTracker tracker(kLimit);
  tracker.SetPeers({{"a"}, {"b"}});
  const auto report = tracker.Add(kRecord, now);

  SUBCASE("nothing follows before both have acknowledged it") {
    CHECK(tracker.TakeDone(now).empty());
    tracker.NoteAcknowledged({"a"}, report);
    CHECK(tracker.TakeDone(now + Milliseconds(500)).empty());
    tracker.NoteAcknowledged({"b"}, report);
    CHECK(tracker.TakeDone(now + Milliseconds(501)) == ReportIds{report});
    CHECK(tracker.empty());
  }
  SUBCASE("each peer is told what it lacks, with its age") {
    const auto batch = tracker.Unacknowledged({"a"}, now + Milliseconds(200));
    REQUIRE(batch.records.size() == 1);
    CHECK(batch.newest == report);
    CHECK(batch.records[0].age == Milliseconds(200));
    tracker.NoteAcknowledged({"a"}, report);
    CHECK(tracker.Unacknowledged({"a"}, now).records.empty());
    CHECK(tracker.Unacknowledged({"b"}, now).records.size() == 1);
  }
  SUBCASE("a report that was added meanwhile isn't acknowledged with it") {
    const auto later = tracker.Add({"content", "crash 2", {}}, now);
    tracker.NoteAcknowledged({"a"}, report);
    tracker.NoteAcknowledged({"b"}, report);
    CHECK(tracker.TakeDone(now) == ReportIds{report});
    CHECK(tracker.Unacknowledged({"a"}, now).newest == later);
  }
  SUBCASE("a peer out of reach isn't waited for") {
    tracker.NoteAcknowledged({"a"}, report);
    tracker.SetPeers({{"a"}});
    CHECK(tracker.TakeDone(now) == ReportIds{report});
  }
  SUBCASE("a silent peer is waited for until the limit") {
    tracker.NoteAcknowledged({"a"}, report);
    CHECK(tracker.TakeDone(now + kLimit - Milliseconds(1)).empty());
    CHECK(tracker.TakeDone(now + kLimit) == ReportIds{report});
  }
}

TEST_CASE("without reachable peers nothing is held back") {
  const Instant now;
  CrashReportTracker tracker(kLimit);
  const auto report = tracker.Add(kRecord, now);
  CHECK(tracker.TakeDone(now) == ReportIds{report});
}

// One caller sends a content that crashes each engine which runs it. After each
// failed answer it sends the content again, to any entry process. Each report
// takes any time within the limit.
TEST_CASE("a repeated poison request crashes at most two engines") {
  CHECK(rc::check("whatever the delays of the reports", [] {
    constexpr int kProcesses = 3;
    constexpr int kCalls = 6;
    std::vector<PoisonRequestTracker> knowledge(
        kProcesses, PoisonRequestTracker(PoisonRequestTracker::Settings{}));
    Instant now;
    int crashes = 0;
    for (int call = 0; call < kCalls; ++call) {
      const int self = *rc::gen::inRange(0, kProcesses);
      if (knowledge[self].QuarantineLeft({"content", {}}, now).has_value()) {
        continue;
      }
      crashes += 1;
      const CrashRecord record{"content", std::to_string(crashes), {}};
      knowledge[self].Merge({record}, now);
      CrashReportTracker tracker(kLimit);
      std::set<base::HostId> others;
      for (int peer = 0; peer < kProcesses; ++peer) {
        if (peer != self) {
          others.insert({std::to_string(peer)});
        }
      }
      tracker.SetPeers(others);
      tracker.Add(record, now);
      std::vector<base::HostId> order(others.begin(), others.end());
      if (*rc::gen::arbitrary<bool>()) {
        std::reverse(order.begin(), order.end());
      }
      for (const base::HostId& peer : order) {
        // The caller has its answer once nothing is held back any more.
        RC_ASSERT(tracker.TakeDone(now).empty());
        now += Milliseconds(
            *rc::gen::inRange<int>(0, kLimit.count() / kProcesses));
        const auto batch = tracker.Unacknowledged(peer, now);
        knowledge[std::stoi(peer.value)].Merge(batch.records, now);
        tracker.NoteAcknowledged(peer, batch.newest);
      }
      RC_ASSERT(tracker.TakeDone(now).size() == 1);
    }
    RC_ASSERT(crashes <= 2);
  }));
}

}  // namespace carawayvalve::core
