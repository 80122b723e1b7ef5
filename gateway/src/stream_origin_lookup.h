#ifndef CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_
#define CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/origin_search.h"
#include "carawayvalve/net/event_loop.h"
#include "gateway_state.h"

namespace carawayvalve::gateway {

// A stream that a caller takes up.
struct TakenUpStream {
  // The request that brought its first event, if the caller names it.
  std::optional<base::RequestId> first;
  // See core::StreamContentDigest.
  std::string content;
  base::ServiceId service;
  // Callers take streams up within this time after they have begun.
  base::Duration horizon{};
};

// A question to peers about the origin of a stream.
struct OriginQuestion {
  std::optional<base::RequestId> first;
  // Asked for if `first` isn't named.
  std::string content;
  // Asks all peers, not only those that keep the origin.
  bool all = false;
  // Unique among the questions of this process about contents.
  int64_t number = 0;
};

// Finds out which software version began a stream that a caller takes up, for
// all requests that name it at the same time. A stream that its caller doesn't
// name may have begun after the search for another one with the same content,
// and has a search of its own.
class StreamOriginLookup {
 public:
  using Handler = std::function<void(const core::OriginVerdict&)>;
  using RegistryKnownTo = std::function<std::optional<base::Instant>()>;
  using Ask = std::function<void(const OriginQuestion&)>;
  // Calls the argument once everything stored has been read, with true, or
  // can't be read, with false.
  using ReadStored = std::function<void(std::function<void(bool)>)>;

  StreamOriginLookup(net::EventLoop& loop, const GatewayState& state)
      : loop(loop), state(state) {}

  // Sets who tells up to when all registrations of backend servers are known
  // here; nothing before the first list.
  void SetRegistryKnownTo(RegistryKnownTo known_to) {
    this->registry_known_to = std::move(known_to);
  }
  void SetAsk(Ask ask_peers) { this->ask = std::move(ask_peers); }
  void SetReadStored(ReadStored read) { this->read_stored = std::move(read); }

  // Sets who has the store show that the registrations are all known, and calls
  // NoteLearned when it has.
  void SetConfirmRegistry(std::function<void()> confirm) {
    this->confirm_registry = std::move(confirm);
  }

  // Returns for how long registrations of backend servers may have been missing
  // here, nothing before the first list.
  std::optional<base::Duration> RegistryAge(base::Instant now) const;

  // Calls the handler once, at once if the origin is known.
  void Find(const TakenUpStream& stream, Handler handler);
  // Must be called when origins have been learnt.
  void NoteLearned();
  // Records that the peer has told all that it knows about a content.
  void NoteAnswered(const base::HostId& peer, int64_t question);

 private:
  struct Search {
    TakenUpStream stream;
    int64_t number = 0;
    // Those that have answered.
    std::set<base::HostId> peers;
    core::OriginSearch search;
    std::unique_ptr<net::Timer> timer;
    std::vector<Handler> handlers;
  };

  core::OriginEvidence EvidenceOf(const Search& search) const;
  void Step(const std::string& key);
  void Perform(const std::string& key,
               const OriginQuestion& question,
               const core::AskOriginKeepers& request);
  void Perform(const std::string& key,
               const OriginQuestion& question,
               const core::AskAllPeers& request);
  void Perform(const std::string& key,
               const OriginQuestion& question,
               const core::ReadStoredOrigins& request);
  void Perform(const std::string& key,
               const OriginQuestion& question,
               const core::ConfirmRegistry& request);

  net::EventLoop& loop;
  const GatewayState& state;
  RegistryKnownTo registry_known_to = [] { return std::nullopt; };
  std::function<void()> confirm_registry = [] {};
  Ask ask = [](const OriginQuestion&) {};
  ReadStored read_stored = [](const std::function<void(bool)>& done) {
    done(true);
  };
  std::map<std::string, Search> searches;
  int64_t last_number = 0;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_
