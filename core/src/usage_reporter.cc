#include "carawayvalve/core/usage_reporter.h"

#include <algorithm>

namespace carawayvalve::core {

UsageReporter::UsageReporter(const base::RegionId& region,
                             const UsageWriter& self,
                             const UsageReporterOptions& options)
    : region(region), self(self), options(options) {}

std::optional<UsageAction> UsageReporter::Step(const UsageEvent& event,
                                               const UsageCollection& collected,
                                               base::Instant now) {
  std::visit([&](const auto& kind) { this->On(kind, now); }, event);
  this->in_flight.reset();
  if (this->is_superseded || this->waits_for_tick) {
    return std::nullopt;
  }
  this->UpdateTimes(now);
  this->in_flight = this->Next(collected, now);
  return this->in_flight;
}

void UsageReporter::On(const UsageTick&, base::Instant) {
  this->waits_for_tick = false;
  if (!this->in_flight) {
    return;
  }
  // The call in flight is given up, so the outcome of a write is unknown.
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->in_flight)) {
    this->InvalidateWritten(*write);
  }
  this->deletion_version.reset();
}

void UsageReporter::On(const UsageObjectRead& event, base::Instant now) {
  const auto* read = this->in_flight
                         ? std::get_if<ReadUsageObject>(&*this->in_flight)
                         : nullptr;
  if (read == nullptr) {
    return;
  }
  switch (read->id.kind) {
    case UsageObjectKind::kProgress:
      this->LoadProgress(event, now);
      return;
    case UsageObjectKind::kPart:
      this->LoadPart(read->id.window, event);
      return;
    case UsageObjectKind::kSeal:
      this->LoadSeal(read->id.window, event);
      return;
  }
}

void UsageReporter::LoadProgress(const UsageObjectRead& event,
                                 base::Instant now) {
  this->current_progress =
      event.object ? std::get<UsageProgress>(*event.object) : UsageProgress();
  this->progress_version = event.version;
  this->progress_read = true;
  this->first_read = this->first_read.value_or(now);
  this->is_superseded = this->current_progress.writer.epoch > this->self.epoch;
}

void UsageReporter::LoadPart(int64_t window, const UsageObjectRead& event) {
  if (this->IsExpired(window)) {
    this->deletion_version = event.version;
    if (!event.object) {
      this->RecordDeleted(UsageObjectKind::kPart);
    }
    return;
  }
  VersionedPart loaded;
  if (event.object) {
    loaded.part = std::get<UsagePart>(*event.object);
    loaded.version = event.version;
  }
  this->is_superseded = loaded.part.writer.epoch > this->self.epoch;
  this->parts[window] = loaded;
}

void UsageReporter::LoadSeal(int64_t window, const UsageObjectRead& event) {
  if (this->IsExpired(window)) {
    this->deletion_version = event.version;
    if (!event.object) {
      this->RecordDeleted(UsageObjectKind::kSeal);
    }
    return;
  }
  if (!event.object) {
    this->waits_for_tick = true;
    if (this->round) {
      this->round->seal_needs_read = false;
    }
    return;
  }
  const auto& found = std::get<UsageSeal>(*event.object);
  if (this->round) {
    this->round->seal = found;
    this->round->seal_created = true;
  } else {
    this->seal = found;
  }
}

void UsageReporter::On(const UsageWriteDone& event, base::Instant) {
  if (!this->in_flight) {
    return;
  }
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->in_flight)) {
    this->RecordWritten(*write, event.version);
  }
  if (const auto* deletion =
          std::get_if<DeleteUsageObject>(&*this->in_flight)) {
    this->RecordDeleted(deletion->id.kind);
  }
}

void UsageReporter::RecordWritten(const WriteUsageObject& write,
                                  int64_t written_version) {
  if (const auto* part = std::get_if<UsagePart>(&write.object)) {
    this->parts[write.id.window] = {*part, written_version};
    this->RecordPartWritten(write.id.window, *part);
    return;
  }
  if (std::holds_alternative<UsageSeal>(write.object)) {
    if (this->round) {
      this->round->seal_created = true;
    }
    return;
  }
  this->current_progress = std::get<UsageProgress>(write.object);
  this->progress_version = written_version;
  this->owns_progress = true;
  if (this->round && this->current_progress.sealed == this->round->window) {
    if (this->current_progress.reported + 1 == this->round->window) {
      this->seal = this->round->seal;
      this->send_result = SendResult::kNone;
    }
    this->round.reset();
    this->parts.clear();
  }
}

void UsageReporter::RecordPartWritten(int64_t window, const UsagePart& part) {
  if (!this->round || !this->round->seal_created) {
    this->stored_revisions[window] = this->merging_revision;
    if (this->round) {
      this->round->to_merge.erase(window);
    }
    return;
  }
  this->round->to_apply.erase(window);
  if (TotalsOf(part.counters) == part.sealed) {
    this->round->fully_sealed.insert(window);
  }
}

void UsageReporter::RecordDeleted(UsageObjectKind kind) {
  this->deletion_version.reset();
  this->part_deleted = kind == UsageObjectKind::kPart;
  if (!this->part_deleted) {
    // The next write of the progress stores this.
    this->current_progress.cleared_to += 1;
  }
}

void UsageReporter::On(const UsageWriteConflict&, base::Instant) {
  this->deletion_version.reset();
  if (!this->in_flight) {
    return;
  }
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->in_flight)) {
    this->InvalidateWritten(*write);
  }
}

void UsageReporter::On(const UsageWriteUncertain&, base::Instant now) {
  this->On(UsageWriteConflict(), now);
  this->On(UsageCallFailed(), now);
}

void UsageReporter::InvalidateWritten(const WriteUsageObject& write) {
  switch (write.id.kind) {
    case UsageObjectKind::kProgress:
      // The progress is read and rewritten before any other call, so that its
      // new version keeps an uncertain write from taking effect later.
      this->progress_read = false;
      this->owns_progress = false;
      this->round.reset();
      this->parts.clear();
      return;
    case UsageObjectKind::kPart:
      this->parts.erase(write.id.window);
      return;
    case UsageObjectKind::kSeal:
      if (this->round) {
        this->round->seal_needs_read = true;
      }
      return;
  }
}

void UsageReporter::On(const UsageCallFailed&, base::Instant) {
  this->waits_for_tick = true;
}

void UsageReporter::On(const UsageGathered&, base::Instant) {
  if (this->round) {
    this->round->gathered = true;
  }
}

void UsageReporter::On(const UsageReportAccepted&, base::Instant) {
  this->send_result = SendResult::kAccepted;
}

void UsageReporter::On(const UsageReportRefused&, base::Instant) {
  this->send_result = SendResult::kRefused;
}

void UsageReporter::On(const UsageReportUnanswered&, base::Instant now) {
  this->send_backoff =
      std::clamp(this->send_backoff * 2, this->options.min_report_backoff,
                 this->options.max_report_backoff);
  this->send_at = now + this->send_backoff;
}

void UsageReporter::UpdateTimes(base::Instant now) {
  if (!this->progress_read) {
    return;
  }
  if (this->last_open_window != this->current_progress.open) {
    this->last_open_window = this->current_progress.open;
    this->open_since = now;
  }
  for (int64_t window = this->current_progress.sealed + 1;
       window < this->current_progress.open; ++window) {
    this->closed_at.try_emplace(window, now);
  }
  std::erase_if(this->closed_at, [&](const auto& closed) {
    return closed.first <= this->current_progress.sealed;
  });
  std::erase_if(this->stored_revisions, [&](const auto& entry) {
    return this->IsExpired(entry.first);
  });
}

bool UsageReporter::IsExpired(int64_t window) const {
  return window < this->current_progress.kept_from;
}

}  // namespace carawayvalve::core
