#include "stream_origin_lookup.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

std::string KeyOf(const TakenUpStream& stream, int64_t number) {
  return stream.first.has_value() ? "request/" + stream.first->value
                                  : "unnamed/" + std::to_string(number);
}

}  // namespace

core::OriginEvidence StreamOriginLookup::EvidenceOf(
    const Search& search) const {
  const TakenUpStream& stream = search.stream;
  const base::Instant now = base::Now();
  core::OriginEvidence evidence;
  if (stream.first.has_value()) {
    evidence.by_first = this->state.stream_origins.Find(*stream.first);
  } else {
    evidence.by_content = this->state.stream_origins.VersionsOf(stream.content);
  }
  evidence.only_version = this->state.directory.OnlyVersion(
      stream.service, search.search.TimeToCover(stream.horizon, now), now);
  evidence.registry_known_to = this->registry_known_to();
  for (const base::HostId& host : this->state.live_hosts) {
    if (host != this->state.settings.host) {
      ++evidence.peers;
      evidence.silent_peers += search.peers.contains(host) ? 0 : 1;
    }
  }
  return evidence;
}

std::optional<base::Duration> StreamOriginLookup::RegistryAge(
    base::Instant now) const {
  const auto known_to = this->registry_known_to();
  return known_to.has_value() ? std::optional(now - *known_to) : std::nullopt;
}

void StreamOriginLookup::Find(const TakenUpStream& stream, Handler handler) {
  const std::string key = KeyOf(stream, ++this->last_number);
  const auto found = this->searches.find(key);
  if (found != this->searches.end()) {
    found->second.handlers.push_back(std::move(handler));
    return;
  }
  const base::Instant now = base::Now();
  const core::OriginSearch search(
      {}, stream.first.has_value(), this->state.MayHavePeers(now),
      this->state.MayBeStored(stream.horizon, now), now);
  this->searches.emplace(key, Search{stream,
                                     this->last_number,
                                     {},
                                     search,
                                     std::make_unique<net::Timer>(this->loop),
                                     {std::move(handler)}});
  this->Step(key);
}

void StreamOriginLookup::Step(const std::string& key) {
  const auto found = this->searches.find(key);
  if (found == this->searches.end()) {
    return;
  }
  Search& search = found->second;
  const base::Instant now = base::Now();
  const auto requests = search.search.Step(this->EvidenceOf(search), now);
  if (search.search.verdict().has_value()) {
    const auto ended = this->searches.extract(found);
    for (const Handler& handler : ended.mapped().handlers) {
      handler(*ended.mapped().search.verdict());
    }
    return;
  }
  search.timer->Start(search.search.wake_at() - now,
                      [this, key] { this->Step(key); });
  // Performing may end the search.
  const OriginQuestion question{search.stream.first, search.stream.content,
                                false, search.number};
  for (const core::OriginRequest& request : requests) {
    std::visit([&](const auto& kind) { this->Perform(key, question, kind); },
               request);
  }
}

void StreamOriginLookup::Perform(const std::string& /*key*/,
                                 const OriginQuestion& question,
                                 const core::AskOriginKeepers& /*request*/) {
  this->ask(question);
}

void StreamOriginLookup::Perform(const std::string& /*key*/,
                                 const OriginQuestion& question,
                                 const core::AskAllPeers& /*request*/) {
  OriginQuestion to_all = question;
  to_all.all = true;
  this->ask(to_all);
}

void StreamOriginLookup::Perform(const std::string& key,
                                 const OriginQuestion& /*question*/,
                                 const core::ReadStoredOrigins& /*request*/) {
  this->read_stored([this, key](bool is_complete) {
    const auto found = this->searches.find(key);
    if (found != this->searches.end()) {
      found->second.search.NoteStoredRead(is_complete);
      this->Step(key);
    }
  });
}

void StreamOriginLookup::Perform(const std::string& /*key*/,
                                 const OriginQuestion& /*question*/,
                                 const core::ConfirmRegistry& /*request*/) {
  this->confirm_registry();
}

void StreamOriginLookup::NoteLearned() {
  std::vector<std::string> keys;
  keys.reserve(this->searches.size());
  for (const auto& [key, search] : this->searches) {
    keys.push_back(key);
  }
  for (const std::string& key : keys) {
    this->Step(key);
  }
}

void StreamOriginLookup::NoteAnswered(const base::HostId& peer,
                                      int64_t question) {
  for (auto& [key, search] : this->searches) {
    if (search.number == question) {
      search.peers.insert(peer);
    }
  }
}

}  // namespace carawayvalve::gateway
