#include "carawayvalve/core/usage_reporter.h"

#include <algorithm>

namespace carawayvalve::core {

UsageReporter::UsageReporter(const base::RegionId& region,
                               const UsageWriter& self,
                               const UsageReporterOptions& options)
    : region(region), self(self), options(options) {}

std::optional<UsageAction> UsageReporter::Step(
    const UsageEvent& event,
    const UsageCollection& collected,
    base::Instant now) {
  std::visit([&](const auto& kind) { this->On(kind, now); }, event);
  this->under_way.reset();
  if (this->is_superseded || this->resting) {
    return std::nullopt;
  }
  this->NoteTimes(now);
  this->under_way = this->Next(collected, now);
  return this->under_way;
}

void UsageReporter::On(const UsageTick&, base::Instant) {
  this->resting = false;
  if (!this->under_way) {
    return;
  }
  // Its answer was given up.
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->under_way)) {
    this->ForgetWritten(*write);
  }
  this->clearing_version.reset();
}

void UsageReporter::On(const UsageObjectRead& event, base::Instant now) {
  const auto* read = this->under_way
                         ? std::get_if<ReadUsageObject>(&*this->under_way)
                         : nullptr;
  if (read == nullptr) {
    return;
  }
  switch (read->id.kind) {
    case UsageObjectKind::kProgress:
      this->LearnProgress(event, now);
      return;
    case UsageObjectKind::kPart:
      this->LearnPart(read->id.window, event);
      return;
    case UsageObjectKind::kSeal:
      this->LearnSeal(read->id.window, event);
      return;
  }
}

void UsageReporter::LearnProgress(const UsageObjectRead& event,
                                   base::Instant now) {
  this->present =
      event.object ? std::get<UsageProgress>(*event.object) : UsageProgress();
  this->version = event.version;
  this->known = true;
  this->first_read = this->first_read.value_or(now);
  this->is_superseded = this->present.writer.epoch > this->self.epoch;
}

void UsageReporter::LearnPart(int64_t window, const UsageObjectRead& event) {
  if (this->IsCleared(window)) {
    this->clearing_version = event.version;
    if (!event.object) {
      this->NoteCleared(UsageObjectKind::kPart);
    }
    return;
  }
  KnownPart known_part;
  if (event.object) {
    known_part.part = std::get<UsagePart>(*event.object);
    known_part.version = event.version;
  }
  this->is_superseded = known_part.part.writer.epoch > this->self.epoch;
  this->parts[window] = known_part;
}

void UsageReporter::LearnSeal(int64_t window, const UsageObjectRead& event) {
  if (this->IsCleared(window)) {
    this->clearing_version = event.version;
    if (!event.object) {
      this->NoteCleared(UsageObjectKind::kSeal);
    }
    return;
  }
  if (!event.object) {
    this->resting = true;
    if (this->round) {
      this->round->read_back = false;
    }
    return;
  }
  const auto& found = std::get<UsageSeal>(*event.object);
  if (this->round) {
    this->round->seal = found;
    this->round->created = true;
  } else {
    this->seal = found;
  }
}

void UsageReporter::On(const UsageWriteDone& event, base::Instant) {
  if (!this->under_way) {
    return;
  }
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->under_way)) {
    this->NoteWritten(*write, event.version);
  }
  if (const auto* gone = std::get_if<DeleteUsageObject>(&*this->under_way)) {
    this->NoteCleared(gone->id.kind);
  }
}

void UsageReporter::NoteWritten(const WriteUsageObject& write,
                                 int64_t written_version) {
  if (const auto* part = std::get_if<UsagePart>(&write.object)) {
    this->parts[write.id.window] = {*part, written_version};
    this->NotePartWritten(write.id.window, *part);
    return;
  }
  if (std::holds_alternative<UsageSeal>(write.object)) {
    if (this->round) {
      this->round->created = true;
    }
    return;
  }
  this->present = std::get<UsageProgress>(write.object);
  this->version = written_version;
  this->stamped = true;
  if (this->round && this->present.sealed == this->round->window) {
    if (this->present.reported + 1 == this->round->window) {
      this->seal = this->round->seal;
      this->sending = Sending::kNone;
    }
    this->round.reset();
    this->parts.clear();
  }
}

void UsageReporter::NotePartWritten(int64_t window, const UsagePart& part) {
  if (!this->round || !this->round->created) {
    this->stored[window] = this->merging_revision;
    if (this->round) {
      this->round->to_merge.erase(window);
    }
    return;
  }
  this->round->to_apply.erase(window);
  if (TotalsOf(part.counters) == part.sealed) {
    this->round->settled.insert(window);
  }
}

void UsageReporter::NoteCleared(UsageObjectKind kind) {
  this->clearing_version.reset();
  this->part_cleared = kind == UsageObjectKind::kPart;
  if (!this->part_cleared) {
    // Stored with the next change of the progress.
    this->present.cleared_to += 1;
  }
}

void UsageReporter::On(const UsageWriteConflict&, base::Instant) {
  this->clearing_version.reset();
  if (!this->under_way) {
    return;
  }
  if (const auto* write = std::get_if<WriteUsageObject>(&*this->under_way)) {
    this->ForgetWritten(*write);
  }
}

void UsageReporter::On(const UsageWriteUncertain&, base::Instant now) {
  this->On(UsageWriteConflict(), now);
  this->On(UsageCallFailed(), now);
}

void UsageReporter::ForgetWritten(const WriteUsageObject& write) {
  switch (write.id.kind) {
    case UsageObjectKind::kProgress:
      // It is written anew before anything else, so that a write that was lost
      // can't take effect later.
      this->known = false;
      this->stamped = false;
      this->round.reset();
      this->parts.clear();
      return;
    case UsageObjectKind::kPart:
      this->parts.erase(write.id.window);
      return;
    case UsageObjectKind::kSeal:
      if (this->round) {
        this->round->read_back = true;
      }
      return;
  }
}

void UsageReporter::On(const UsageCallFailed&, base::Instant) {
  this->resting = true;
}

void UsageReporter::On(const UsageGathered&, base::Instant) {
  if (this->round) {
    this->round->gathered = true;
  }
}

void UsageReporter::On(const UsageReportAccepted&, base::Instant) {
  this->sending = Sending::kTaken;
}

void UsageReporter::On(const UsageReportRefused&, base::Instant) {
  this->sending = Sending::kRefused;
}

void UsageReporter::On(const UsageReportUnanswered&, base::Instant now) {
  this->send_pause =
      std::clamp(this->send_pause * 2, this->options.min_report_backoff,
                 this->options.max_report_backoff);
  this->send_at = now + this->send_pause;
}

void UsageReporter::NoteTimes(base::Instant now) {
  if (!this->known) {
    return;
  }
  if (this->open_seen != this->present.open) {
    this->open_seen = this->present.open;
    this->open_since = now;
  }
  for (int64_t window = this->present.sealed + 1; window < this->present.open;
       ++window) {
    this->closed_at.try_emplace(window, now);
  }
  std::erase_if(this->closed_at, [&](const auto& closed) {
    return closed.first <= this->present.sealed;
  });
  std::erase_if(this->stored, [&](const auto& entry) {
    return this->IsCleared(entry.first);
  });
}

bool UsageReporter::IsCleared(int64_t window) const {
  return window < this->present.kept_from;
}

}  // namespace carawayvalve::core
