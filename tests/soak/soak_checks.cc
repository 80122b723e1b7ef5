#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>

#include "soak.h"

namespace carawayvalve::tests {

using nlohmann::json;
using std::chrono::seconds;

namespace {

// Time after which a withdrawn key must not work; set by the platform.
constexpr seconds kMaxWithdrawalTime(5);
// Fraction of the requests after the recovery that must be served.
constexpr double kMinServedFraction = 0.9;
// From this time after the fifth crash by a part of prompts on, at most
// kMaxPoisonArrivals requests with it may reach engines; twice as long after
// the last crash, half of the sound ones must be served (the platform's
// contactMs).
constexpr seconds kContactTime(3);
constexpr size_t kCrashesToLearn = 5;
constexpr int64_t kMaxPoisonArrivals = 3;
constexpr double kMinServedBesidePoison = 0.5;

// Removes the marks of versions from a stream.
std::string WithoutVersions(const std::string& body) {
  static const std::regex kMark("@v[0-9]+");
  return std::regex_replace(body, kMark, "");
}

}  // namespace

void Soak::CheckRuns() {
  std::map<std::string, const CallerCall*> by_id;
  for (const auto& call : this->callers->calls()) {
    by_id[call->id] = call.get();
  }
  std::map<std::string, int> count;
  for (const BackendRun& run : this->runs) {
    const auto found = by_id.find(run.request);
    if (found == by_id.end()) {
      this->AddComplaint("unknown request " + run.request + " ran");
      continue;
    }
    const CallerCall& call = *found->second;
    if (run.account != call.account || !run.key.empty()) {
      this->AddComplaint(run.request + " ran for " + run.account +
                         " with key '" + run.key + "'");
    }
    const bool may_repeat = call.type == RequestType::kLookup ||
                            call.type == RequestType::kResumableStream;
    if (++count[run.request] > 1 && !may_repeat) {
      this->AddComplaint(run.request + " ran twice");
    }
    const auto withdrawal = this->withdrawn.find(call.key);
    if (withdrawal != this->withdrawn.end() &&
        call.sent > withdrawal->second + kMaxWithdrawalTime) {
      this->AddComplaint(run.request +
                         " ran with a key that was already withdrawn");
    }
  }
  for (const auto& [id, call] : by_id) {
    const bool refused_as_not_run =
        call->complete &&
        (call->status == 503 || call->status == 429 || call->status == 408);
    const bool may_repeat = call->type == RequestType::kLookup ||
                            call->type == RequestType::kResumableStream;
    if (refused_as_not_run && !may_repeat && count[id] > 0) {
      this->AddComplaint(id + " was answered " + std::to_string(call->status) +
                         " and ran");
    }
  }
}

void Soak::CheckAnswers() {
  for (const auto& call : this->callers->calls()) {
    if (this->settings.planned_only && !call->complete) {
      this->AddComplaint(call->id +
                         " got no complete answer during planned operations");
    }
    if (!call->complete || call->status != 200) {
      continue;
    }
    const bool plain = call->type == RequestType::kPayment ||
                       call->type == RequestType::kLookup;
    bool correct = false;
    if (plain) {
      correct = call->body.starts_with("answer to " + call->id + " by ");
    } else {
      std::string expected;
      const int first =
          call->after_event.empty() ? 1 : std::stoi(call->after_event) + 1;
      for (int i = first; i <= kEventsPerStream; ++i) {
        expected += StreamEvent(call->id, i);
      }
      correct = WithoutVersions(call->body) == expected;
    }
    if (!correct) {
      this->AddComplaint(call->id + " got a wrong answer: " + call->body);
    }
  }
}

void Soak::CheckReports() {
  std::map<json, std::string> windows;
  std::map<int64_t, std::string> holders;
  int64_t highest = 0;
  for (const Report& report : this->reports) {
    const json body = json::parse(report.body, nullptr, false);
    const std::string figures = body["counts"].dump();
    if (windows.try_emplace(body["window"], figures).first->second != figures) {
      this->AddComplaint("window " + body["window"].dump() +
                         " reported twice: " + report.body);
    }
    if (holders.try_emplace(report.epoch, report.holder).first->second !=
        report.holder) {
      this->AddComplaint("two holders with epoch " +
                         std::to_string(report.epoch));
    }
    if (report.epoch < highest && !report.delayed) {
      this->AddComplaint("epoch " + std::to_string(report.epoch) + " after " +
                         std::to_string(highest));
    }
    highest = std::max(highest, report.epoch);
  }
}

namespace {

// Times of one service's requests and retries, in ascending order.
struct RetryTimes {
  std::vector<base::Instant> requests;
  // Arrivals after the first of the same request.
  std::vector<base::Instant> retries;
};

int64_t CountIn(const std::vector<base::Instant>& times,
                base::Instant from,
                base::Instant to) {
  return std::lower_bound(times.begin(), times.end(), to) -
         std::lower_bound(times.begin(), times.end(), from);
}

// Retries of a window and how many are allowed; the excess is negative if
// fewer were made.
struct RetryExcess {
  int64_t retries = 0;
  double allowed = 0;

  double amount() const { return static_cast<double>(this->retries) - allowed; }
};

RetryExcess ExcessIn(const RetryBounds& bounds,
                     const RetryTimes& times,
                     base::Instant from) {
  const base::Duration window = bounds.window;
  int64_t requests = 0;
  for (const base::Duration earlier : {window * 0, window / 2, window}) {
    const base::Instant start = from - earlier;
    requests =
        std::max(requests, CountIn(times.requests, start, start + window));
  }
  return {CountIn(times.retries, from, from + window),
          bounds.ratio * static_cast<double>(requests) + bounds.slack};
}

// Returns the window with the highest excess.
RetryExcess WorstExcess(const RetryBounds& bounds, const RetryTimes& times) {
  RetryExcess worst;
  for (const base::Instant retry : times.retries) {
    const base::Instant last = retry - bounds.window + base::Duration(1);
    for (const base::Instant from : {retry, last}) {
      const RetryExcess excess = ExcessIn(bounds, times, from);
      if (worst.retries == 0 || excess.amount() > worst.amount()) {
        worst = excess;
      }
    }
  }
  return worst;
}

}  // namespace

void Soak::CheckRetries() {
  std::map<bool, RetryTimes> services;
  for (const auto& call : this->callers->calls()) {
    const bool engine = call->type == RequestType::kStream ||
                        call->type == RequestType::kResumableStream;
    services[engine].requests.push_back(call->sent);
  }
  std::vector<std::pair<BackendArrival, bool>> arrivals;
  for (const auto& server : this->servers) {
    for (const BackendArrival& arrival : server->backend->arrivals) {
      arrivals.emplace_back(arrival, server->engine);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const auto& left, const auto& right) {
              return left.first.at < right.first.at;
            });
  std::set<std::string> prefilled;
  std::set<std::string> arrived;
  for (const auto& [arrival, engine] : arrivals) {
    // The first accepted prefill of a prompt is no retry.
    if (arrival.prefill_only && !arrival.declined &&
        prefilled.insert(arrival.request).second) {
      continue;
    }
    if (!arrived.insert(arrival.request).second) {
      services[engine].retries.push_back(arrival.at);
    }
  }
  for (const auto& [engine, times] : services) {
    const RetryExcess worst = WorstExcess(this->settings.retries, times);
    if (worst.amount() > 0) {
      this->AddComplaint((engine ? "models had " : "desk had ") +
                         std::to_string(worst.retries) + " retries, " +
                         std::to_string(worst.allowed) + " are allowed");
    }
  }
}

void Soak::CheckPoisonPart() {
  if (this->crashes.empty()) {
    return;
  }
  std::set<std::string> poison;
  int64_t sound = 0;
  int64_t served = 0;
  const base::Instant learned = this->crashes.back() + 2 * kContactTime;
  for (const auto& call : this->callers->calls()) {
    if (call->poison) {
      poison.insert(call->id);
    } else if (call->sent > learned) {
      ++sound;
      served += call->complete && call->status == 200 ? 1 : 0;
    }
  }
  int64_t arrivals = 0;
  for (const auto& server : this->servers) {
    for (const BackendArrival& arrival : server->backend->arrivals) {
      const bool late =
          this->crashes.size() >= kCrashesToLearn &&
          arrival.at > this->crashes[kCrashesToLearn - 1] + kContactTime;
      arrivals += late && poison.contains(arrival.request) ? 1 : 0;
    }
  }
  std::cout << this->crashes.size() << " engines crashed; then " << served
            << " of " << sound << " sound requests were served\n";
  if (arrivals > kMaxPoisonArrivals) {
    this->AddComplaint(std::to_string(arrivals) +
                       " requests with a part that had crashed five engines "
                       "reached engines");
  }
  if (static_cast<double>(served) <
      kMinServedBesidePoison * static_cast<double>(sound)) {
    this->AddComplaint("beside a poison part " + std::to_string(served) +
                       " of " + std::to_string(sound) +
                       " sound requests were served");
  }
}

void Soak::CheckProgress(size_t first_call) {
  int64_t total = 0;
  int64_t served = 0;
  const auto& calls = this->callers->calls();
  for (size_t i = first_call; i < calls.size(); ++i) {
    if (!this->withdrawn.contains(calls[i]->key) && !calls[i]->poison) {
      ++total;
      served += calls[i]->complete && calls[i]->status == 200 ? 1 : 0;
    }
  }
  if (static_cast<double>(served) <
          kMinServedFraction * static_cast<double>(total) ||
      total == 0) {
    this->AddComplaint("after the recovery " + std::to_string(served) + " of " +
                       std::to_string(total) + " requests were served");
  }
}

}  // namespace carawayvalve::tests
