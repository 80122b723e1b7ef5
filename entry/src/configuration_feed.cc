#include "configuration_feed.h"

#include <algorithm>
#include <utility>

#include "EntryPeer.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/config/json.h"
#include "carawayvalve/config/patch.h"
#include "carawayvalve/wire/channel.h"

namespace carawayvalve::entry {

namespace {

using PeerChannel = wire::Channel<wire::gen::EntryPeerClient>;

// Must be much shorter than the staleness limit, since the age of a copy is
// counted from when its request was sent.
constexpr base::Milliseconds kWatchTimeout{1000};
constexpr base::Milliseconds kAnswerMargin{1000};
constexpr base::Milliseconds kRetryDelay{200};
// A source whose last confirmation by the store is older than this isn't
// followed.
constexpr base::Milliseconds kMaxSourceAge{3000};
// Number of recent configurations kept as bases for patches.
constexpr size_t kMaxRecentConfigurations = 16;

std::optional<base::Duration> StoreAge(
    const wire::gen::ConfigurationCopy& copy) {
  if (copy.store_age_ms < 0) {
    return std::nullopt;
  }
  return base::Milliseconds(copy.store_age_ms);
}

}  // namespace

ConfigurationFeed::ConfigurationFeed(const EntrySettings& settings)
    : settings(settings),
      object_api(settings.object_api_address,
                 base::Milliseconds(settings.store_timeout_ms)),
      store(object_api, settings.host.value),
      log("configuration"),
      active(config::Configuration()) {}

ConfigurationFeed::~ConfigurationFeed() {
  this->Stop();
}

void ConfigurationFeed::Start(Listener listener) {
  this->listener = std::move(listener);
  this->thread = std::thread([this] { this->Run(); });
}

void ConfigurationFeed::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ConfigurationFeed::SetHosts(
    const std::vector<systems::Host>& entry_hosts) {
  const std::lock_guard lock(this->mutex);
  this->hosts.clear();
  this->addresses.clear();
  for (const systems::Host& host : entry_hosts) {
    this->hosts.push_back({host.name, host.data_centre});
    this->addresses[host.name] = host.address;
  }
  this->staleness.Retain(this->PeerIds());
}

void ConfigurationFeed::NotePeerAnswer(const base::HostId& peer,
                                       base::Instant sent_at,
                                       std::optional<base::Duration> store_age,
                                       int64_t generation) {
  const std::lock_guard lock(this->mutex);
  this->staleness.NotePeerAnswer(peer, sent_at, store_age, generation);
  this->startup.NotePeerAnswer(peer);
}

ConfigurationFeed::Copy ConfigurationFeed::WaitForNewer(
    int64_t known_generation,
    base::Milliseconds wait) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, wait, [&] {
    return this->stopping || this->active.generation() > known_generation;
  });
  Copy copy;
  copy.current = this->recent.empty() ? nullptr : this->recent.back();
  copy.reader_configuration = this->FindRecent(known_generation);
  if (const auto confirmed_at =
          this->staleness.ConfirmedAt(this->active.generation())) {
    copy.store_age = base::Now() - *confirmed_at;
  }
  return copy;
}

core::FreshnessState ConfigurationFeed::Freshness() const {
  const std::lock_guard lock(this->mutex);
  const base::Milliseconds limit(
      this->active.current().declaration.limits.staleness_limit_ms);
  return this->staleness.Evaluate(base::Now(), limit, this->PeerIds(),
                                  this->active.generation());
}

bool ConfigurationFeed::IsStartedUp() const {
  const std::lock_guard lock(this->mutex);
  return this->startup.IsReady(this->PeerIds(), this->active.generation());
}

base::HostId ConfigurationFeed::source() const {
  const std::lock_guard lock(this->mutex);
  return this->current_source;
}

std::vector<base::HostId> ConfigurationFeed::PeerIds() const {
  std::vector<base::HostId> peers;
  for (const core::EntryHost& host : this->hosts) {
    if (host.host != this->settings.host) {
      peers.push_back(host.host);
    }
  }
  return peers;
}

ConfigurationFeed::ConfigurationPtr ConfigurationFeed::FindRecent(
    int64_t generation) const {
  const auto found = std::find_if(this->recent.begin(), this->recent.end(),
                                  [&](const ConfigurationPtr& candidate) {
                                    return candidate->generation == generation;
                                  });
  return found == this->recent.end() ? nullptr : *found;
}

int64_t ConfigurationFeed::ActiveGeneration() const {
  const std::lock_guard lock(this->mutex);
  return this->active.generation();
}

bool ConfigurationFeed::IsWatcher() const {
  const std::lock_guard lock(this->mutex);
  return core::ChooseWatchers(this->hosts, this->settings.data_centre)
      .contains(this->settings.host);
}

std::vector<ConfigurationFeed::Source> ConfigurationFeed::Sources() const {
  const std::lock_guard lock(this->mutex);
  const core::EntryHost self{this->settings.host, this->settings.data_centre};
  std::vector<Source> sources;
  for (const base::HostId& host : core::OrderSources(this->hosts, self)) {
    sources.push_back({host, this->addresses.at(host)});
  }
  return sources;
}

void ConfigurationFeed::Run() {
  while (!this->stopping) {
    // A watcher falls back to its peers when the store doesn't answer; any
    // other process falls back to the store when no peer answers.
    const bool watcher = this->IsWatcher();
    const bool succeeded = watcher
                               ? this->FollowStore() || this->FollowAnyPeer()
                               : this->FollowAnyPeer() || this->FollowStore();
    if (!succeeded) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

bool ConfigurationFeed::FollowAnyPeer() {
  for (const Source& source : this->Sources()) {
    if (this->stopping || this->FollowPeer(source)) {
      return true;
    }
  }
  return false;
}

bool ConfigurationFeed::FollowStore() {
  const base::Instant sent_at = base::Now();
  try {
    const auto next =
        this->store.Watch(this->ActiveGeneration(), kWatchTimeout);
    if (next) {
      this->Apply(*next);
    }
  } catch (const base::Error& error) {
    this->log.Warn("Watching the configuration in the store failed.",
                   {.peer = error.peer(), .step = error.step()});
    return false;
  }
  const std::lock_guard lock(this->mutex);
  this->staleness.NoteStoreAnswer(sent_at);
  this->startup.NoteStoreAnswer();
  this->current_source = {};
  return true;
}

bool ConfigurationFeed::FollowPeer(const Source& source) {
  const base::Instant sent_at = base::Now();
  const int64_t generation = this->ActiveGeneration();
  wire::gen::ConfigurationCopy copy;
  try {
    PeerChannel channel(source.address, kWatchTimeout + kAnswerMargin);
    channel.InvokeTransfer(
        "read configuration", [&](wire::gen::EntryPeerClient& client) {
          client.configuration(copy, generation, kWatchTimeout.count());
        });
    if (copy.generation > generation) {
      this->Apply(copy.is_patch
                      ? config::ApplyPatch(*this->WaitForNewer(0, {}).current,
                                           copy.text)
                      : config::ParseConfiguration(copy.text, source.address));
    }
  } catch (const base::Error& error) {
    this->log.Debug(error.what(), {.peer = error.peer()});
    return false;
  }
  const auto store_age = StoreAge(copy);
  this->NotePeerAnswer(source.host, sent_at, store_age, copy.generation);
  const std::lock_guard lock(this->mutex);
  this->current_source = source.host;
  return store_age && *store_age < kMaxSourceAge;
}

void ConfigurationFeed::Apply(const config::Configuration& configuration) {
  ConfigurationPtr applied;
  {
    const std::lock_guard lock(this->mutex);
    switch (this->active.Offer(configuration)) {
      case core::OfferResult::kNotNewer:
        return;
      case core::OfferResult::kConflict:
        this->log.Fail(
            "Ignored a configuration: a different one of its generation is in "
            "force.");
        return;
      case core::OfferResult::kApplied:
        break;
    }
    applied = std::make_shared<const config::Configuration>(configuration);
    this->recent.push_back(applied);
    if (this->recent.size() > kMaxRecentConfigurations) {
      this->recent.pop_front();
    }
    this->changed.notify_all();
  }
  this->log.Info("Generation " + std::to_string(applied->generation) +
                 " is in force.");
  this->listener(applied);
}

}  // namespace carawayvalve::entry
