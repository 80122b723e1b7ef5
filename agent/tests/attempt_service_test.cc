#include "attempt_service.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "carawayvalve/wire/limits.h"

namespace carawayvalve::agent {

namespace {

using base::Milliseconds;
using core::AttemptOutcome;
using core::AttemptPhase;

constexpr std::chrono::hours kRetention{2};
constexpr std::chrono::hours kTimeToDeadline{1};
// Bounds the waits of a test; only a faulty run reaches it.
constexpr std::chrono::seconds kTestTimeout{30};
constexpr Milliseconds kNoWait{0};
constexpr size_t kMebibyte = 1024 * 1024;
const base::BootId kEntry{"an entry process"};

AttemptService::Options MakeOptions() {
  return {.slots = 2,
          .max_queued_per_account = 1000,
          .retention = kRetention,
          .on_crash = {},
          .on_usage = {},
          .on_rate_change = {}};
}

Job MakeJob(const std::string& name, const std::string& content) {
  Job job;
  job.attempt = {name};
  job.entry_boot = kEntry;
  job.client_account = {"guild"};
  job.deadline = base::Now() + kTimeToDeadline;
  job.content_digest = content;
  return job;
}

Job MakeJob(const std::string& name) {
  return MakeJob(name, "content of " + name);
}

Job MakeSuspect(const std::string& name) {
  Job job = MakeJob(name);
  job.known_deaths = 1;
  return job;
}

std::string NextAttemptName(AttemptService& service) {
  const std::optional<Job> job = service.NextJob();
  return job ? job->attempt.value : "closed";
}

ReadPosition PositionAt(const std::string& name, int64_t offset) {
  return {{name}, offset, kMebibyte};
}

std::vector<AttemptUpdate> Read(AttemptService& service,
                                const std::vector<ReadPosition>& positions) {
  return service.Read(kEntry, positions, kNoWait);
}

// Reads the update of the only attempt that has one.
core::AttemptView ReadOne(AttemptService& service,
                          const std::vector<ReadPosition>& positions) {
  const std::vector<AttemptUpdate> updates = Read(service, positions);
  REQUIRE(updates.size() == 1);
  return updates[0].view;
}

}  // namespace

TEST_CASE("AttemptService: an attempt from its submission to its end") {
  AttemptService service(MakeOptions());
  REQUIRE(service.Submit(MakeJob("a")).accepted);

  SUBCASE("an attempt that is submitted twice is queued once") {
    CHECK(service.Submit(MakeJob("a")).accepted);
    CHECK(service.queued() == 1);
  }

  SUBCASE("a runner starts it and appends output") {
    REQUIRE(NextAttemptName(service) == "a");
    CHECK(service.running() == 1);
    REQUIRE(service.Append({"a"}, "first "));

    SUBCASE("a read without a position returns the output from its start") {
      CHECK(ReadOne(service, {}).bytes == "first ");

      SUBCASE("a repeated read returns the same bytes") {
        CHECK(ReadOne(service, {PositionAt("a", 0)}).bytes == "first ");
      }
      SUBCASE("a read from a later offset returns only new output") {
        CHECK(Read(service, {PositionAt("a", 6)}).empty());
        service.Append({"a"}, "second");
        const core::AttemptView view = ReadOne(service, {PositionAt("a", 6)});
        CHECK(view.offset == 6);
        CHECK(view.bytes == "second");
        CHECK(view.phase == AttemptPhase::kRunning);
      }
    }
    SUBCASE("a reader that accepts no bytes is given no update") {
      CHECK(Read(service, {{{"a"}, 0, 0}}).empty());
    }
    SUBCASE("the last bytes and the end come in one update") {
      service.Finish({"a"}, AttemptOutcome::kAnswered, "");
      const core::AttemptView view = ReadOne(service, {PositionAt("a", 0)});
      CHECK(view.bytes == "first ");
      CHECK(view.outcome == AttemptOutcome::kAnswered);
      CHECK(view.last);

      SUBCASE("a reader that requests the end again receives it again") {
        CHECK(ReadOne(service, {PositionAt("a", 0)}).bytes == "first ");
      }
      SUBCASE("its output is dropped once the reader no longer requests it") {
        CHECK(Read(service, {}).empty());
        const core::AttemptView late = ReadOne(service, {PositionAt("a", 0)});
        CHECK(late.bytes.empty());
        CHECK(late.phase == AttemptPhase::kFinished);
      }
    }
    SUBCASE("an abandoned attempt that is already running continues") {
      CHECK(service.Abandon({"a"}, base::Now()).phase ==
            AttemptPhase::kRunning);
      CHECK(service.Append({"a"}, "second"));
    }
    SUBCASE("a cancelled attempt stops its runner and delivers no output") {
      service.Cancel({"a"});
      CHECK(service.Cancelled({"a"}));
      CHECK_FALSE(service.Append({"a"}, "second"));
      service.Finish({"a"}, AttemptOutcome::kCancelled, "cancelled");
      CHECK(Read(service, {}).empty());
      CHECK(service.WaitUntilIdle(kNoWait));
    }
    SUBCASE("an attempt with output never counts as not run") {
      service.MarkNotRun({"a"}, "the backend server is down");
      const core::AttemptView view = ReadOne(service, {PositionAt("a", 0)});
      CHECK(view.phase == AttemptPhase::kFinished);
      CHECK(view.outcome == AttemptOutcome::kBrokenOff);
    }
  }

  SUBCASE("an attempt without output may end as not run") {
    REQUIRE(NextAttemptName(service) == "a");
    service.MarkNotRun({"a"}, "the backend server is down");
    CHECK(ReadOne(service, {}).phase == AttemptPhase::kNotRun);
  }
  SUBCASE("an attempt cancelled while it runs never counts as not run") {
    REQUIRE(NextAttemptName(service) == "a");
    service.Cancel({"a"});
    service.MarkNotRun({"a"}, "the backend server is down");
    CHECK(service.Abandon({"a"}, base::Now()).phase == AttemptPhase::kFinished);
  }

  SUBCASE("an attempt abandoned in the queue is reported as not run") {
    CHECK(service.Abandon({"a"}, base::Now()).phase == AttemptPhase::kNotRun);
    CHECK(service.queued() == 0);
    CHECK_FALSE(service.Submit(MakeJob("a")).accepted);
    CHECK(ReadOne(service, {}).phase == AttemptPhase::kNotRun);
  }
  SUBCASE("an attempt cancelled in the queue never runs") {
    service.Cancel({"a"});
    CHECK(service.queued() == 0);
    CHECK_FALSE(service.Submit(MakeJob("a")).accepted);
  }
  SUBCASE("an attempt past its deadline in the queue is reported as not run") {
    service.Tick(base::Now() + kTimeToDeadline);
    CHECK(service.queued() == 0);
    CHECK(ReadOne(service, {}).phase == AttemptPhase::kNotRun);
  }
}

TEST_CASE("AttemptService: the usage of an attempt is counted once") {
  std::vector<core::UsageFigures> counted;
  AttemptService::Options options = MakeOptions();
  options.on_usage = [&](const base::ClientAccountId& client_account,
                         const core::UsageFigures& figures) {
    CHECK(client_account == base::ClientAccountId{"guild"});
    counted.push_back(figures);
  };
  using Usage = std::vector<core::UsageFigures>;
  AttemptService service(options);
  REQUIRE(service.Submit(MakeJob("a")).accepted);

  SUBCASE("an attempt cancelled in the queue has no usage") {
    service.Cancel({"a"});
    CHECK(counted.empty());
  }
  SUBCASE("an attempt that has not run has no usage") {
    REQUIRE(NextAttemptName(service) == "a");
    service.MarkNotRun({"a"}, "the backend server is down");
    CHECK(counted.empty());
  }
  SUBCASE("the answer of a plain call counts as one request") {
    REQUIRE(NextAttemptName(service) == "a");
    service.Append({"a"}, "body");
    service.AppendEnd({"a"}, {});
    service.Finish({"a"}, AttemptOutcome::kAnswered, "");
    CHECK(counted == Usage{{1, 0, 0}});
  }
  SUBCASE("an engine sends two tokens") {
    REQUIRE(NextAttemptName(service) == "a");
    service.AppendToken({"a"}, "one ");
    service.AppendToken({"a"}, "two ");
    CHECK(counted.empty());

    SUBCASE("and the end, which is counted before it can be read") {
      service.AppendEnd({"a"}, {"stop", 20, 2, 0});
      CHECK(counted == Usage{{1, 20, 2}});

      SUBCASE("breaking off afterwards adds no usage") {
        service.Finish({"a"}, AttemptOutcome::kBrokenOff, "garbage");
        CHECK(counted.size() == 1);
      }
      SUBCASE("finishing adds no usage") {
        service.Finish({"a"}, AttemptOutcome::kAnswered, "");
        CHECK(counted.size() == 1);
      }
    }
    SUBCASE("and breaks off: the next attempt sends the rest") {
      service.Finish({"a"}, AttemptOutcome::kBrokenOff, "");
      CHECK(counted == Usage{{0, 0, 2}});
    }
    SUBCASE("and can't be reached any more: the two tokens are counted") {
      service.MarkNotRun({"a"}, "the backend server is down");
      CHECK(counted == Usage{{0, 0, 2}});
    }
    SUBCASE("and is cancelled: what follows isn't delivered or counted") {
      service.Cancel({"a"});
      service.AppendToken({"a"}, "three ");
      service.AppendEnd({"a"}, {"stop", 20, 3, 0});
      service.Finish({"a"}, AttemptOutcome::kAnswered, "");
      CHECK(counted == Usage{{0, 0, 2}});
    }
  }
}

TEST_CASE("AttemptService: refusals") {
  AttemptService service(MakeOptions());

  SUBCASE("refuses an attempt that was abandoned before it arrived") {
    service.Abandon({"a"}, base::Now());
    CHECK_FALSE(service.Submit(MakeJob("a")).accepted);
  }
  SUBCASE("gives an unknown phase for an attempt that may have been pruned") {
    const base::Instant long_ago = base::Now() - kRetention - kRetention;
    CHECK(service.Abandon({"a"}, long_ago).phase == AttemptPhase::kUnknown);
  }
  SUBCASE("an attempt refused above its account's queue limit stays refused") {
    service.SetAccountLimits({}, 1);
    service.Submit(MakeJob("a"));
    const SubmitResult second = service.Submit(MakeJob("b"));
    CHECK_FALSE(second.accepted);
    CHECK(second.retry_after.count() > 0);
    REQUIRE(NextAttemptName(service) == "a");
    CHECK_FALSE(service.Submit(MakeJob("b")).accepted);
    CHECK(service.Submit(MakeJob("c")).accepted);
  }
  SUBCASE("refuses new attempts while leaving, but finishes accepted ones") {
    service.Submit(MakeJob("a"));
    service.Leave();
    CHECK_FALSE(service.Submit(MakeJob("b")).accepted);
    REQUIRE(NextAttemptName(service) == "a");
    service.Append({"a"}, "whole");
    CHECK_FALSE(service.WaitUntilIdle(kNoWait));
    service.Finish({"a"}, AttemptOutcome::kAnswered, "");
    CHECK_FALSE(service.WaitUntilIdle(kNoWait));
    CHECK(ReadOne(service, {}).bytes == "whole");
    CHECK(service.WaitUntilIdle(kNoWait));
  }
  SUBCASE("a backend server that limits the rate of its requests") {
    service.NoteRate(core::RateLimit{5}, base::Now());
    const base::Instant named = base::Now();
    for (const char* name : {"a", "b", "c"}) {
      REQUIRE(service.Submit(MakeJob(name)).accepted);
    }

    SUBCASE("gets attempts at that rate") {
      for (int i = 0; i < 3; ++i) {
        REQUIRE(NextAttemptName(service) != "closed");
      }
      CHECK(base::Now() - named >= Milliseconds(590));
    }
    SUBCASE("an attempt that couldn't start in time is refused at once") {
      Job late = MakeJob("late");
      late.deadline = base::Now() + Milliseconds(500);
      const SubmitResult refused = service.Submit(late);
      CHECK_FALSE(refused.accepted);
      CHECK(refused.retry_after >= Milliseconds(500));
      CHECK(service.queued() == 3);
    }
    SUBCASE("an answer without a limit withdraws it") {
      service.NoteRate(core::NoRateLimit{}, base::Now());
      CHECK_FALSE(service.rate_limit().has_value());
      for (int i = 0; i < 3; ++i) {
        REQUIRE(NextAttemptName(service) != "closed");
      }
      CHECK(base::Now() - named < Milliseconds(590));
    }
    SUBCASE("but not one to a request that was sent before") {
      service.NoteRate(core::NoRateLimit{}, named - Milliseconds(5));
      CHECK(service.rate_limit() == 5);
    }
  }
  SUBCASE("gives runners no more attempts once it is closed") {
    auto next = std::async(std::launch::async,
                           [&] { return NextAttemptName(service); });
    service.Close();
    CHECK(next.get() == "closed");
  }
}

TEST_CASE("AttemptService: unread output blocks its runner") {
  AttemptService service(MakeOptions());
  Job job = MakeJob("a");
  const auto append = [&] {
    return std::async(std::launch::async, [&] {
      return service.Append({"a"}, std::string(2 * kMebibyte, 'x'));
    });
  };

  SUBCASE("until it is cancelled") {
    service.Submit(job);
    REQUIRE(NextAttemptName(service) == "a");
    std::future<bool> append_result = append();
    service.Cancel({"a"});
    CHECK_FALSE(append_result.get());
  }
  SUBCASE("until it is read") {
    service.Submit(job);
    REQUIRE(NextAttemptName(service) == "a");
    std::future<bool> append_result = append();
    int64_t offset = 0;
    while (offset < static_cast<int64_t>(2 * kMebibyte)) {
      for (const AttemptUpdate& update :
           service.Read(kEntry, {PositionAt("a", offset)}, kTestTimeout)) {
        CHECK(update.view.offset == offset);
        offset += static_cast<int64_t>(update.view.bytes.size());
      }
    }
    CHECK(append_result.get());
  }
  SUBCASE("until its deadline, if the reader has crashed") {
    job.deadline = base::Now() + std::chrono::seconds(2);
    service.Submit(job);
    REQUIRE(NextAttemptName(service) == "a");
    std::future<bool> append_result = append();
    const bool ended =
        append_result.wait_for(kTestTimeout) == std::future_status::ready;
    CHECK(ended);
    if (!ended) {
      service.Cancel({"a"});
    }
    CHECK_FALSE(append_result.get());
  }
}

TEST_CASE("AttemptService: crash suspects run one at a time") {
  AttemptService service(MakeOptions());

  SUBCASE("attempts with known crashes run one at a time") {
    service.Submit(MakeSuspect("s1"));
    service.Submit(MakeSuspect("s2"));
    service.Submit(MakeJob("n"));
    CHECK(NextAttemptName(service) == "s1");
    CHECK(NextAttemptName(service) == "n");
    service.Finish({"s1"}, AttemptOutcome::kAnswered, "");
    CHECK(NextAttemptName(service) == "s2");
  }
  SUBCASE("the backend server crashes while it runs an attempt") {
    service.Submit(MakeJob("a1", "deadly"));
    REQUIRE(NextAttemptName(service) == "a1");

    SUBCASE("the crash is reported to the reader and listed as recent") {
      service.NoteCrash({"a1"});
      service.Finish({"a1"}, AttemptOutcome::kBrokenOff, "");
      REQUIRE(service.RecentCrashes().size() == 1);
      CHECK(service.RecentCrashes()[0].content_digest == "deadly");
      const std::vector<AttemptUpdate> updates = Read(service, {});
      REQUIRE(updates.size() == 1);
      CHECK(updates[0].death_id == service.RecentCrashes()[0].death_id);
    }
    SUBCASE("attempts that break off together share one crash") {
      service.Submit(MakeJob("b"));
      REQUIRE(NextAttemptName(service) == "b");
      service.NoteCrash({"a1"});
      service.NoteCrash({"b"});
      REQUIRE(service.RecentCrashes().size() == 2);
      CHECK(service.RecentCrashes()[0].death_id ==
            service.RecentCrashes()[1].death_id);
    }
    SUBCASE("queued attempts with the same content run one at a time") {
      service.Submit(MakeJob("a2", "deadly"));
      service.Submit(MakeJob("a3", "deadly"));
      service.Submit(MakeJob("n"));
      service.NoteCrash({"a1"});
      service.Finish({"a1"}, AttemptOutcome::kBrokenOff, "");
      CHECK(NextAttemptName(service) == "a2");
      CHECK(NextAttemptName(service) == "n");
    }
    SUBCASE("later attempts with the same content run one at a time as well") {
      service.NoteCrash({"a1"});
      service.Finish({"a1"}, AttemptOutcome::kBrokenOff, "");
      service.Submit(MakeJob("a2", "deadly"));
      service.Submit(MakeJob("a3", "deadly"));
      service.Submit(MakeJob("n"));
      CHECK(NextAttemptName(service) == "a2");
      CHECK(NextAttemptName(service) == "n");
    }
    SUBCASE(
        "no suspect starts while an attempt with the crash's content runs") {
      service.Submit(MakeJob("a2", "deadly"));
      REQUIRE(NextAttemptName(service) == "a2");
      service.NoteCrash({"a1"});
      service.Finish({"a1"}, AttemptOutcome::kBrokenOff, "");
      service.Submit(MakeSuspect("s"));
      service.Submit(MakeJob("n"));
      CHECK(NextAttemptName(service) == "n");
    }
  }
}

// Guards against innocent requests that are taken for poison: a second one is
// started on an engine that the first has just crashed, and its connection is
// reset.
TEST_CASE("AttemptService: an attempt is started on a crashed engine") {
  AttemptService service(MakeOptions());
  service.Submit(MakeJob("poison"));
  service.Submit(MakeJob("beside"));
  REQUIRE(NextAttemptName(service) == "poison");
  REQUIRE(NextAttemptName(service) == "beside");
  service.NoteCrash({"poison"});
  service.Finish({"poison"}, AttemptOutcome::kBrokenOff, "");
  service.Submit(MakeJob("late"));
  REQUIRE(NextAttemptName(service) == "late");

  SUBCASE("it isn't recorded as running when the engine crashed") {
    service.NoteCrash({"late"});
    CHECK(service.RecentCrashes().size() == 1);
  }
  SUBCASE("one that was running before is") {
    service.NoteCrash({"beside"});
    CHECK(service.RecentCrashes().size() == 2);
  }
  SUBCASE("so is it once the engine has answered since the crash") {
    service.NoteAlive(base::Now());
    service.NoteCrash({"late"});
    CHECK(service.RecentCrashes().size() == 2);
  }
  SUBCASE("and once the engine has answered the attempt itself") {
    service.Append({"late"}, "a token");
    service.NoteCrash({"late"});
    CHECK(service.RecentCrashes().size() == 2);
  }
  SUBCASE("an answer that was asked for before the crash proves nothing") {
    service.NoteAlive(base::Now() - std::chrono::seconds(1));
    service.NoteCrash({"late"});
    CHECK(service.RecentCrashes().size() == 1);
  }
}

TEST_CASE("AttemptService: updates of many attempts fit in one message") {
  AttemptService service(MakeOptions());
  constexpr int kAttempts = 200;
  const std::string output(kMebibyte / 4, 'x');
  std::map<std::string, int64_t> offsets;
  for (int i = 0; i < kAttempts; ++i) {
    const std::string name = std::to_string(i);
    service.Submit(MakeJob(name));
    REQUIRE(NextAttemptName(service) == name);
    service.Append({name}, output);
    service.Finish({name}, AttemptOutcome::kAnswered, "");
    offsets[name] = 0;
  }
  size_t complete = 0;
  while (complete < kAttempts) {
    std::vector<ReadPosition> positions;
    positions.reserve(offsets.size());
    for (const auto& [name, offset] : offsets) {
      positions.push_back(PositionAt(name, offset));
    }
    size_t bytes = 0;
    complete = 0;
    for (const AttemptUpdate& update : Read(service, positions)) {
      REQUIRE(offsets[update.attempt.value] == update.view.offset);
      offsets[update.attempt.value] +=
          static_cast<int64_t>(update.view.bytes.size());
      bytes += update.view.bytes.size();
      complete += update.view.last ? 1 : 0;
    }
    REQUIRE(bytes < wire::kMaxMessageBytes);
  }
  for (const auto& [name, offset] : offsets) {
    CHECK(offset == static_cast<int64_t>(output.size()));
  }
}

TEST_CASE("AttemptService: complete answers") {
  CHECK(rc::check(
      "any chunks, read sizes and lost answers give the complete output",
      [](const std::vector<std::string>& chunks) {
        AttemptService service(MakeOptions());
        service.Submit(MakeJob("a"));
        service.NextJob();
        std::string written;
        std::string received;
        bool last = false;
        const auto read = [&] {
          const size_t max_bytes = *rc::gen::inRange<size_t>(1, 20);
          const auto offset = static_cast<int64_t>(received.size());
          const bool lost = *rc::gen::arbitrary<bool>();
          for (const AttemptUpdate& update :
               Read(service, {{{"a"}, offset, max_bytes}})) {
            RC_ASSERT(update.view.offset == offset);
            received += lost ? "" : update.view.bytes;
            last = update.view.last && !lost;
          }
        };
        for (const std::string& chunk : chunks) {
          service.Append({"a"}, chunk);
          written += chunk;
          read();
        }
        service.Finish({"a"}, AttemptOutcome::kAnswered, "");
        while (!last) {
          read();
        }
        RC_ASSERT(received == written);
      }));
}

}  // namespace carawayvalve::agent
