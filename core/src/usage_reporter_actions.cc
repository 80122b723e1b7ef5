// The functions of UsageReporter that choose the next call.

#include <algorithm>
#include <utility>

#include "carawayvalve/core/usage_reporter.h"

namespace carawayvalve::core {

std::optional<UsageAction> UsageReporter::Next(const UsageCollection& collected,
                                               base::Instant now) {
  if (!this->progress_read) {
    return this->Read({UsageObjectKind::kProgress, 0});
  }
  if (!this->owns_progress) {
    return this->WriteProgress(this->current_progress);
  }
  if (this->round) {
    return this->NextInRound(collected);
  }
  if (Action late = this->NextLate(collected)) {
    return late;
  }
  if (Action close = this->NextClose(collected, now)) {
    return close;
  }
  if (Action store = this->NextStore(collected)) {
    return store;
  }
  if (Action seal_next = this->NextSeal(collected, now)) {
    return seal_next;
  }
  if (Action report = this->NextReport(now)) {
    return report;
  }
  return this->NextDelete();
}

UsageReporter::Action UsageReporter::Read(const UsageObjectId& id) const {
  return ReadUsageObject{id};
}

UsageReporter::Action UsageReporter::WriteProgress(
    const UsageProgress& changed) const {
  UsageProgress written = changed;
  written.writer = this->self;
  return WriteUsageObject{
      {UsageObjectKind::kProgress, 0}, written, this->progress_version};
}

// Marks a sealed window as pending if its stored part lacks late usage.
UsageReporter::Action UsageReporter::NextLate(
    const UsageCollection& collected) {
  for (const int64_t window : collected.Windows()) {
    const int64_t revision = collected.RevisionOf(window);
    if (this->IsExpired(window) || window > this->current_progress.sealed ||
        this->current_progress.pending.contains(window) ||
        this->stored_revisions[window] == revision) {
      continue;
    }
    const auto found = this->parts.find(window);
    if (found == this->parts.end()) {
      return this->Read({UsageObjectKind::kPart, window});
    }
    WindowUsage merged = found->second.part.counters;
    this->parts.erase(found);
    if (MergeUsage(merged, collected.UsageOf(window))) {
      UsageProgress changed = this->current_progress;
      changed.pending.insert(window);
      return this->WriteProgress(changed);
    }
    this->stored_revisions[window] = revision;
  }
  return std::nullopt;
}

UsageReporter::Action UsageReporter::NextClose(const UsageCollection& collected,
                                               base::Instant now) {
  const bool is_due = now - this->open_since >= this->options.window_length;
  const bool is_full = collected.CounterCount(this->current_progress.open) >=
                       this->options.max_counters;
  if (!is_due && !is_full) {
    return std::nullopt;
  }
  UsageProgress changed = this->current_progress;
  changed.pending.insert(changed.open);
  changed.open += 1;
  changed.kept_from =
      std::max(changed.kept_from,
               std::min(changed.reported + 1 - this->options.kept_windows,
                        *changed.pending.begin()));
  return this->WriteProgress(changed);
}

// Stores the collected usage of a window that has just been closed, as agents
// or this process may end before it is sealed.
UsageReporter::Action UsageReporter::NextStore(
    const UsageCollection& collected) {
  for (const int64_t window : this->current_progress.pending) {
    if (window > this->current_progress.sealed &&
        !this->stored_revisions.contains(window)) {
      return this->MergePart(window, collected);
    }
  }
  return std::nullopt;
}

UsageReporter::Action UsageReporter::NextSeal(const UsageCollection& collected,
                                              base::Instant now) {
  const int64_t window = this->current_progress.sealed + 1;
  if (window >= this->current_progress.open ||
      now - this->closed_at.at(window) < this->options.grace_period) {
    return std::nullopt;
  }
  SealingRound next;
  next.window = window;
  next.windows.insert(window);
  for (const int64_t pending : this->current_progress.pending) {
    if (pending < window) {
      next.windows.insert(pending);
    }
  }
  next.to_merge = next.windows;
  next.to_apply = next.windows;
  this->round = next;
  return this->NextInRound(collected);
}

UsageReporter::Action UsageReporter::NextInRound(
    const UsageCollection& collected) {
  if (!this->round->gathered) {
    return GatherUsage{this->round->window};
  }
  if (!this->round->to_merge.empty()) {
    return this->MergePart(*this->round->to_merge.begin(), collected);
  }
  if (!this->round->seal_created) {
    return this->CreateSeal();
  }
  for (const auto& [window, lines] : this->round->seal->windows) {
    // A seal created by another holder may include further windows.
    if (this->round->windows.insert(window).second) {
      this->round->to_apply.insert(window);
    }
  }
  if (!this->round->to_apply.empty()) {
    return this->ApplySeal(*this->round->to_apply.begin());
  }
  return this->CommitRound();
}

UsageReporter::Action UsageReporter::MergePart(
    int64_t window,
    const UsageCollection& collected) {
  const auto found = this->parts.find(window);
  if (found == this->parts.end()) {
    return this->Read({UsageObjectKind::kPart, window});
  }
  UsagePart merged = found->second.part;
  MergeUsage(merged.counters, collected.UsageOf(window));
  this->merging_revision = collected.RevisionOf(window);
  return this->WritePart(window, merged);
}

// Writes even an unchanged part: success proves that the cached part is the
// stored one, and the new version makes delayed writes of other holders fail.
UsageReporter::Action UsageReporter::WritePart(int64_t window,
                                               UsagePart part) const {
  part.writer = this->self;
  return WriteUsageObject{{UsageObjectKind::kPart, window},
                          std::move(part),
                          this->parts.at(window).version};
}

UsageReporter::Action UsageReporter::CreateSeal() {
  const UsageObjectId id{UsageObjectKind::kSeal, this->round->window};
  if (this->round->seal_needs_read) {
    return this->Read(id);
  }
  if (!this->round->seal) {
    this->round->seal = this->DraftSeal();
  }
  return WriteUsageObject{id, *this->round->seal, 0};
}

UsageSeal UsageReporter::DraftSeal() const {
  UsageSeal draft;
  draft.writer = this->self;
  draft.region = this->region;
  draft.window = this->round->window;
  draft.report_id = UsageReportId(this->region, this->round->window);
  for (const int64_t window : this->round->windows) {
    const UsagePart& part = this->parts.at(window).part;
    SealedLines lines;
    for (const auto& [account, total] : TotalsOf(part.counters)) {
      const auto sealed = part.sealed.find(account);
      const UsageFigures already_sealed =
          sealed == part.sealed.end() ? UsageFigures() : sealed->second;
      if (total != already_sealed) {
        lines[account] = {total - already_sealed, total};
      }
    }
    if (window == draft.window || !lines.empty()) {
      draft.windows[window] = lines;
    }
  }
  return draft;
}

// Adds the seal's totals to one part. No later window is sealed before this is
// done for all windows of the seal.
UsageReporter::Action UsageReporter::ApplySeal(int64_t window) const {
  const auto found = this->parts.find(window);
  if (found == this->parts.end()) {
    return this->Read({UsageObjectKind::kPart, window});
  }
  UsagePart part = found->second.part;
  const auto carried = this->round->seal->windows.find(window);
  if (carried != this->round->seal->windows.end()) {
    AccountUsage totals;
    for (const auto& [account, line] : carried->second) {
      totals[account] = line.total;
    }
    MergeUsage(part.sealed, totals);
  }
  return this->WritePart(window, std::move(part));
}

UsageReporter::Action UsageReporter::CommitRound() const {
  UsageProgress changed = this->current_progress;
  changed.sealed = this->round->window;
  for (const int64_t window : this->round->fully_sealed) {
    changed.pending.erase(window);
  }
  if (changed.reported + 1 == changed.sealed && changed.sending == 0) {
    changed.sending = changed.sealed;
    changed.sending_epoch = this->self.epoch;
  }
  return this->WriteProgress(changed);
}

UsageReporter::Action UsageReporter::NextReport(base::Instant now) {
  const int64_t window = this->current_progress.reported + 1;
  if (window > this->current_progress.sealed) {
    return std::nullopt;
  }
  if (!this->seal || this->seal->window != window) {
    this->send_result = SendResult::kNone;
    this->send_at = {};
    this->send_backoff = {};
    return this->Read({UsageObjectKind::kSeal, window});
  }
  UsageProgress changed = this->current_progress;
  if (this->send_result != SendResult::kNone) {
    changed.reported = window;
    changed.sending = 0;
    changed.sending_epoch = 0;
    changed.refused_reports +=
        this->send_result == SendResult::kRefused ? 1 : 0;
    return this->WriteProgress(changed);
  }
  const bool is_recorded = changed.sending == window;
  const bool is_own = is_recorded && changed.sending_epoch == this->self.epoch;
  // A report sent by an earlier holder may still be in flight.
  const base::Instant earliest =
      is_recorded && !is_own
          ? std::max(this->send_at,
                     *this->first_read + this->options.report_timeout)
          : this->send_at;
  if (now < earliest) {
    return std::nullopt;
  }
  if (!is_own) {
    changed.sending = window;
    changed.sending_epoch = this->self.epoch;
    return this->WriteProgress(changed);
  }
  return SendUsageReport{ReportFromSeal(*this->seal)};
}

// Deletes the objects of the oldest expired window, one per call.
UsageReporter::Action UsageReporter::NextDelete() {
  if (this->current_progress.cleared_to >= this->current_progress.kept_from) {
    return std::nullopt;
  }
  const UsageObjectId id{
      this->part_deleted ? UsageObjectKind::kSeal : UsageObjectKind::kPart,
      this->current_progress.cleared_to};
  if (!this->deletion_version) {
    return this->Read(id);
  }
  return DeleteUsageObject{id, *this->deletion_version};
}

}  // namespace carawayvalve::core
