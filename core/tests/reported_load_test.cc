#include "carawayvalve/core/reported_load.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <string>

#include "carawayvalve/core/placement.h"

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

namespace {

// Ten backend servers of a plain service, of which "desk0" has times at which
// work takes longer. A request arrives every 4 ms.
class Desks {
 public:
  // Returns how many times longer than usual work takes at "desk0" at a time,
  // and what "desk0" says then.
  using Slowness = std::function<double(Milliseconds)>;

  Desks(Slowness actual, Slowness stated)
      : actual(std::move(actual)), stated(std::move(stated)) {
    for (int i = 0; i < kDesks; ++i) {
      BackendEntry entry;
      entry.id = {"desk" + std::to_string(i)};
      entry.service = {"desk"};
      entry.data_centre = {"here"};
      entry.slots = 6;
      this->directory.NoteEntry(entry);
    }
  }

  // Plays until `end` and returns the requests that "desk0" got since `begin`
  // as a multiple of a tenth of all.
  double ShareBetween(Milliseconds begin, Milliseconds end) {
    int64_t slow = 0;
    int64_t all = 0;
    for (; this->time < end; this->time += kInterval) {
      this->Finish();
      const bool to_slow = this->Send();
      slow += this->time >= begin && to_slow ? 1 : 0;
      all += this->time >= begin ? 1 : 0;
    }
    return static_cast<double>(slow * kDesks) / static_cast<double>(all);
  }

 private:
  struct Request {
    base::BackendServerId id;
    FleetLoad::Ticket ticket = 0;
    Milliseconds sent{};
    Milliseconds ends{};
    base::Duration at_full_speed{};
  };

  static constexpr int kDesks = 10;
  static constexpr Milliseconds kInterval{4};

  Instant Now() const {
    return Instant() + std::chrono::seconds(100) + this->time;
  }

  double At(const base::BackendServerId& id, const Slowness& slowness) const {
    return id.value == "desk0" ? slowness(this->time) : 1;
  }

  bool Send() {
    PlacementQuery query;
    query.service = {"desk"};
    query.objective = std::chrono::seconds(1);
    query.request = "r" + std::to_string(this->time.count());
    const auto placement =
        std::get<Placement>(this->placer.Choose(query, this->Now()));
    const base::BackendServerId& id = placement.target.id;
    const auto ms =
        static_cast<int64_t>(base::ToMilliseconds(placement.at_full_speed) *
                             this->At(id, this->actual));
    this->running.push_back({id, this->load.NoteSent(id, {1, 0, 0}), this->time,
                             this->time + Milliseconds(ms),
                             placement.at_full_speed});
    return id.value == "desk0";
  }

  void Finish() {
    std::erase_if(this->running, [&](const Request& request) {
      if (request.ends > this->time) {
        return false;
      }
      this->load.NoteEnded(request.ticket);
      this->reported.NoteStatement(
          request.id, {0, 0, 6, this->At(request.id, this->stated)},
          this->Now());
      this->reported.NoteAnswer(request.id, request.ends - request.sent,
                                request.at_full_speed, this->Now());
      this->health.NoteAnswer(request.id, request.ends - request.sent,
                              request.at_full_speed, this->Now());
      return true;
    });
  }

  Slowness actual;
  Slowness stated;
  Milliseconds time{};
  std::deque<Request> running;
  BackendDirectory directory{{.grace_period = std::chrono::seconds(2)}};
  BackendHealth health{{}};
  BackendRateLimits rate_limits;
  SilenceDetector silence;
  FleetLoad load;
  PrefixCacheTracker prefix_cache{400000};
  ReportedLoad reported;
  Placer placer{{.data_centre = {"here"}, .even_load = true},
                directory,
                health,
                rate_limits,
                silence,
                load,
                prefix_cache,
                reported};
};

constexpr Milliseconds kOnset(1000);

}  // namespace

// The target: a slow server loses load within a second and gets it back
// carefully.
TEST_CASE("one backend server in ten is slow by 3 for a second") {
  const auto slow = [](Milliseconds time) {
    return time >= kOnset && time < 2 * kOnset ? 3.0 : 1.0;
  };
  const auto usual = [](Milliseconds /*time*/) { return 1.0; };

  SUBCASE("and says so: it loses half of its load within the second") {
    Desks desks(slow, slow);
    CHECK(desks.ShareBetween(Milliseconds(0), kOnset) > 0.5);
    CHECK(desks.ShareBetween(Milliseconds(1500), Milliseconds(2000)) < 0.5);
    CHECK(desks.ShareBetween(Milliseconds(2000), Milliseconds(2200)) < 1);
    CHECK(desks.ShareBetween(Milliseconds(7000), Milliseconds(9000)) > 0.5);
  }
  SUBCASE("and says that it is as fast as usual") {
    Desks desks(slow, usual);
    desks.ShareBetween(Milliseconds(0), kOnset);
    CHECK(desks.ShareBetween(Milliseconds(1500), Milliseconds(2000)) < 0.5);
  }
}

TEST_CASE("a backend server says 900 and answers at once") {
  Desks desks([](Milliseconds /*time*/) { return 1.0; },
              [](Milliseconds time) { return time >= kOnset ? 9.0 : 1.0; });
  desks.ShareBetween(Milliseconds(0), kOnset);
  // It isn't believed for longer than a second.
  CHECK(desks.ShareBetween(Milliseconds(2000), Milliseconds(5000)) > 0.5);
}

TEST_CASE("a backend server is slow by 3 in every other half second") {
  const auto flapping = [](Milliseconds time) {
    return time >= kOnset && time.count() / 500 % 2 == 0 ? 3.0 : 1.0;
  };
  Desks desks(flapping, flapping);
  desks.ShareBetween(Milliseconds(0), kOnset);
  CHECK(desks.ShareBetween(Milliseconds(2000), Milliseconds(5000)) < 0.5);
}

TEST_CASE("ReportedLoad") {
  const Instant now = Instant() + std::chrono::seconds(100);
  const base::BackendServerId id{"a"};
  ReportedLoad reported;
  reported.NoteStatement(id, {3, 0, 8, 3.0}, now);

  SUBCASE("a figure counts at once") {
    CHECK(reported.Slowness(id, now) == doctest::Approx(3));
    CHECK(reported.Newest(id, now)->statement.running == 3);
  }
  SUBCASE("and is worthless later") {
    CHECK(reported.Slowness(id, now + Milliseconds(300)) == doctest::Approx(2));
    CHECK(reported.Slowness(id, now + Milliseconds(1501)) == 1);
  }
  SUBCASE("a lower one takes effect slowly") {
    reported.NoteStatement(id, {3, 0, 8, 1.0}, now);
    CHECK(reported.Slowness(id, now) == doctest::Approx(3));
  }
  SUBCASE("an answer without figures changes nothing") {
    reported.NoteStatement(id, {}, now + Milliseconds(10));
    CHECK(reported.Newest(id, now)->statement.running == 3);
  }
  SUBCASE("answers that don't bear it out lower the trust in it") {
    reported.NoteAnswer(id, Milliseconds(50), Milliseconds(50), now);
    CHECK(reported.Slowness(id, now) < 1.3);

    SUBCASE("and those that do restore it") {
      for (int i = 0; i < 4; ++i) {
        reported.NoteAnswer(id, Milliseconds(150), Milliseconds(50), now);
      }
      CHECK(reported.Slowness(id, now) > 2.8);
    }
  }
  SUBCASE("a restart ends it") {
    reported.Forget(id);
    CHECK(reported.Slowness(id, now) == 1);
    CHECK_FALSE(reported.Newest(id, now).has_value());
  }
}

}  // namespace carawayvalve::core
