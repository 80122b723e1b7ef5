#include "carawayvalve/core/fair_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace carawayvalve::core {

namespace {

using base::ClientAccountId;
using base::Instant;
using base::Milliseconds;

constexpr int32_t kMaxQueued = 1000;
const Instant kStart;

QueuedAttempt MakeAttempt(const std::string& name,
                          const std::string& account,
                          int64_t cost_tokens = 1) {
  return {.attempt = {name},
          .client_account = {account},
          .cost_tokens = cost_tokens,
          .deadline = kStart + Milliseconds(1000),
          .content_digest = "digest of " + name};
}

std::string PopName(FairQueue& queue, bool suspect_running = false) {
  const auto popped = queue.Pop(kStart, suspect_running);
  return popped ? popped->attempt.value : "";
}

}  // namespace

TEST_CASE("FairQueue") {
  FairQueue queue(2);
  QueuedAttempt first = MakeAttempt("a1", "guild");
  QueuedAttempt second = MakeAttempt("a2", "guild");

  SUBCASE("an account can't queue more attempts than its limit") {
    CHECK(queue.Push(first, kStart) == PushResult::kQueued);
    CHECK(queue.Push(first, kStart) == PushResult::kAlreadyQueued);
    CHECK(queue.Push(second, kStart) == PushResult::kQueued);
    CHECK(queue.Push(MakeAttempt("a3", "guild"), kStart) ==
          PushResult::kAccountFull);
    CHECK(queue.Push(MakeAttempt("a4", "zoo"), kStart) == PushResult::kQueued);
    CHECK(queue.QueuedOf({"guild"}) == 2);
  }
  SUBCASE("higher priorities are popped first within an account") {
    second.priority = 1;
    queue.Push(first, kStart);
    queue.Push(second, kStart);
    CHECK(PopName(queue) == "a2");
    CHECK(PopName(queue) == "a1");
    CHECK(PopName(queue).empty());
  }
  SUBCASE("a removed attempt isn't popped") {
    queue.Push(first, kStart);
    CHECK(queue.Remove(first.attempt));
    CHECK_FALSE(queue.Remove(first.attempt));
    CHECK(PopName(queue).empty());
    CHECK(queue.cost_tokens() == 0);
  }
  SUBCASE("an attempt past its deadline is dropped instead of popped") {
    queue.Push(first, kStart);
    const Instant late = first.deadline;
    CHECK(queue.Push(second, late) == PushResult::kDeadlinePassed);
    CHECK_FALSE(queue.Pop(late, false).has_value());
    CHECK(queue.DropExpired(late) == std::vector{first});
    CHECK(queue.empty());
  }
  SUBCASE("a suspect is skipped while another suspect runs") {
    queue.Push(first, kStart);
    queue.Push(second, kStart);
    queue.MarkSuspect(first.content_digest);
    CHECK(PopName(queue, true) == "a2");
    CHECK(PopName(queue, true).empty());
    CHECK(PopName(queue, false) == "a1");
  }
  SUBCASE(
      "a costly attempt doesn't overtake cheap ones of the same total cost") {
    FairQueue large_queue(kMaxQueued);
    large_queue.Push(MakeAttempt("big", "guild", 40960), kStart);
    for (int i = 0; i < 500; ++i) {
      large_queue.Push(MakeAttempt("s" + std::to_string(i), "zoo", 128),
                       kStart);
    }
    int before = 0;
    while (PopName(large_queue) != "big") {
      ++before;
    }
    CHECK(before >= 19 * 16);
    CHECK(before <= 21 * 16);
  }
}

TEST_CASE("FairQueue serves backlogged accounts in proportion to weights") {
  CHECK(rc::check(
      "tokens served per weight differ by a bounded amount",
      [](const std::vector<std::pair<uint8_t, uint16_t>>& shapes) {
        RC_PRE(shapes.size() >= 2);
        constexpr int64_t kMaxCost = 65535 + 1;
        constexpr int kPops = 300;
        FairQueue queue(kMaxQueued);
        std::map<ClientAccountId, int32_t> weights;
        for (size_t i = 0; i < shapes.size(); ++i) {
          weights[{std::to_string(i)}] = shapes[i].first % 8 + 1;
        }
        queue.SetWeights(weights);
        int pushed = 0;
        const auto refill = [&](const ClientAccountId& account) {
          const uint16_t seed = shapes[std::stoul(account.value)].second;
          const int64_t cost = (seed * (pushed % 5 + 1)) % kMaxCost + 1;
          queue.Push(MakeAttempt(std::to_string(pushed), account.value, cost),
                     kStart);
          ++pushed;
        };
        std::map<ClientAccountId, int64_t> served;
        for (const auto& [account, weight] : weights) {
          served[account] = 0;
          refill(account);
          refill(account);
        }
        for (int pop = 0; pop < kPops; ++pop) {
          const auto popped = queue.Pop(kStart, false);
          RC_ASSERT(popped.has_value());
          served[popped->client_account] += popped->cost_tokens;
          refill(popped->client_account);
          int64_t least = served.begin()->second;
          int64_t most = 0;
          for (const auto& [account, tokens] : served) {
            least = std::min(least, tokens / weights[account]);
            most = std::max(most, tokens / weights[account]);
          }
          RC_ASSERT(most - least <= 2048 + 2 * kMaxCost);
        }
      }));
}

TEST_CASE("FairQueue under any order of calls") {
  CHECK(rc::check(
      "each attempt leaves the queue once, and none is lost",
      [](const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& calls) {
        FairQueue queue(kMaxQueued);
        std::map<base::AttemptId, QueuedAttempt> waiting;
        Instant now = kStart;
        const auto remove_waiting = [&](const QueuedAttempt& queued) {
          RC_ASSERT(waiting.erase(queued.attempt) == 1U);
        };
        for (const auto& [kind, name, number] : calls) {
          QueuedAttempt queued = MakeAttempt(std::to_string(name % 16),
                                             std::to_string(name % 3), number);
          queued.deadline = kStart + Milliseconds(number % 512);
          queued.suspect = number % 4 == 0;
          const bool suspect_running = number % 2 == 0;
          const auto may_start = [&](const auto& entry) {
            return entry.second.deadline > now &&
                   !(entry.second.suspect && suspect_running);
          };
          switch (kind % 5) {
            case 0:
            case 1:
              if (queue.Push(queued, now) == PushResult::kQueued) {
                RC_ASSERT(waiting.emplace(queued.attempt, queued).second);
              }
              break;
            case 2: {
              const auto popped = queue.Pop(now, suspect_running);
              RC_ASSERT(popped.has_value() ==
                        std::any_of(waiting.begin(), waiting.end(), may_start));
              if (popped) {
                RC_ASSERT(may_start(*waiting.find(popped->attempt)));
                remove_waiting(*popped);
              }
              break;
            }
            case 3:
              RC_ASSERT(queue.Remove(queued.attempt) ==
                        (waiting.erase(queued.attempt) == 1U));
              break;
            default:
              now += Milliseconds(number % 16);
              for (const QueuedAttempt& dropped : queue.DropExpired(now)) {
                RC_ASSERT(dropped.deadline <= now);
                remove_waiting(dropped);
              }
          }
          RC_ASSERT(queue.size() == waiting.size());
        }
      }));
}

}  // namespace carawayvalve::core
