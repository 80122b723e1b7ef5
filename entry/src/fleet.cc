#include "fleet.h"

#include <utility>

#include "carawayvalve/config/engine_role.h"

namespace carawayvalve::entry {

Fleet::Fleet(const base::BootId& entry,
             const core::RoutingSettings& routing,
             EventsFor events_for)
    : entry(entry),
      events_for(std::move(events_for)),
      router(routing),
      generator(base::StableHash(entry.value)) {}

void Fleet::Close() {
  {
    const std::lock_guard lock(this->mutex);
    this->closed = true;
  }
  this->SetHosts({});
}

void Fleet::SetHosts(const std::vector<systems::Host>& hosts) {
  std::vector<std::shared_ptr<AgentLink>> closing;
  {
    const std::lock_guard lock(this->mutex);
    std::map<base::BackendServerId, Member> kept;
    for (const systems::Host& host : hosts) {
      if (host.role != systems::HostRole::kBackend || this->closed) {
        continue;
      }
      const base::BackendServerId name{host.name.value};
      const auto known = this->members.find(name);
      if (known != this->members.end() &&
          known->second.host.address == host.address) {
        known->second.host = host;
        this->Update(known->second);
        kept[name] = std::move(known->second);
        this->members.erase(known);
        continue;
      }
      Member member;
      member.host = host;
      member.link = std::make_shared<AgentLink>(host.address, this->entry,
                                                this->events_for(name));
      kept[name] = std::move(member);
    }
    for (auto& [name, member] : this->members) {
      member.link->Stop();
      this->router.Remove(name);
      closing.push_back(std::move(member.link));
    }
    this->members = std::move(kept);
  }
  // Joins the links' threads, without holding the lock.
  closing.clear();
}

void Fleet::SetStatus(const base::BackendServerId& backend_server,
                      const wire::gen::AgentStatus& status) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->members.find(backend_server);
  if (found == this->members.end()) {
    return;
  }
  found->second.status = status;
  found->second.status_at = base::Now();
  this->Update(found->second);
}

void Fleet::SetUnreachable(const base::BackendServerId& backend_server) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->members.find(backend_server);
  if (found != this->members.end()) {
    found->second.status.reset();
    this->router.Remove(backend_server);
  }
}

void Fleet::Update(const Member& member) {
  if (!member.status) {
    return;
  }
  const wire::gen::AgentStatus& status = *member.status;
  core::BackendView view;
  view.backend_server = {member.host.name.value};
  view.service = {status.service_name};
  view.data_centre = member.host.data_centre;
  view.ready = status.ready;
  view.leaving = status.leaving || member.host.leaving;
  view.queued_requests = status.queued;
  view.running_requests = status.running;
  view.slots = status.slots;
  if (status.__isset.requests_per_second) {
    view.requests_per_second = status.requests_per_second;
  }
  view.queued_prefill_tokens = status.load.queued_prefill_tokens;
  view.prefill_tokens_per_second = status.load.prefill_tokens_per_second;
  view.decode_tokens_per_second = status.load.decode_tokens_per_second;
  view.role = config::FindEngineRole(status.load.role)
                  .value_or(config::EngineRole::kMixed);
  for (const std::string& model : status.load.models) {
    view.models.push_back({model});
  }
  view.software_version = status.load.software_version;
  view.reported = member.status_at;
  this->router.Update(view);
}

void Fleet::NoteCacheEvents(const base::BackendServerId& backend_server,
                            const wire::gen::CacheEvents& events) {
  const std::lock_guard lock(this->mutex);
  core::PrefixIndex& prefixes = this->router.prefixes();
  if (events.gap) {
    prefixes.NoteGap(backend_server);
  }
  for (const std::string& added : events.added) {
    if (const auto hash = core::ParsePrefixHash(added)) {
      prefixes.Add(backend_server, *hash, base::Now());
    }
  }
  for (const std::string& dropped : events.dropped) {
    if (const auto hash = core::ParsePrefixHash(dropped)) {
      prefixes.Drop(backend_server, *hash);
    }
  }
}

std::variant<BackendChoice, core::NoBackendReady> Fleet::Choose(
    const base::AttemptId& attempt,
    const core::RoutingQuery& query) {
  const std::lock_guard lock(this->mutex);
  const base::Instant now = base::Now();
  const core::RoutingResult result =
      this->router.Choose(query, now, this->generator);
  if (const auto* none = std::get_if<core::NoBackendReady>(&result)) {
    return *none;
  }
  const auto& choice = std::get<core::RoutingChoice>(result);
  this->router.NoteSent(attempt, choice, now);
  const Member& member = this->members.at(choice.backend_server);
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      now - member.status_at);
  return BackendChoice{choice.backend_server,
                       {member.status->agent_boot},
                       member.status->clock_us + elapsed.count(),
                       member.status->load.software_version};
}

void Fleet::NoteEnded(const base::AttemptId& attempt) {
  const std::lock_guard lock(this->mutex);
  this->router.NoteEnded(attempt);
}

base::Duration Fleet::ExpectedWait(const core::RoutingQuery& query) {
  const std::lock_guard lock(this->mutex);
  const core::RoutingResult result =
      this->router.Choose(query, base::Now(), this->generator);
  const auto* choice = std::get_if<core::RoutingChoice>(&result);
  return choice == nullptr ? base::Duration(0) : choice->expected_wait;
}

std::shared_ptr<AgentLink> Fleet::FindLink(
    const base::BackendServerId& backend_server) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->members.find(backend_server);
  return found == this->members.end() ? nullptr : found->second.link;
}

std::vector<BackendSnapshot> Fleet::Snapshots() const {
  const std::lock_guard lock(this->mutex);
  std::vector<BackendSnapshot> snapshots;
  for (const auto& [name, member] : this->members) {
    snapshots.push_back(
        {name, member.host.address, member.host.leaving, member.status});
  }
  return snapshots;
}

}  // namespace carawayvalve::entry
