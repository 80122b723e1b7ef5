#include "stream_origin_lookup.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

// Several round trips between data centres. The peers that keep the origin are
// asked alone for so long, then all of them.
constexpr base::Milliseconds kKeepersTimeout(40);
constexpr base::Milliseconds kAllTimeout(80);

}  // namespace

void StreamOriginLookup::Find(const base::RequestId& first, Handler handler) {
  const auto known = this->state.stream_origins.Find(first);
  if (known.has_value()) {
    handler(known);
    return;
  }
  const auto [found, is_new] = this->searches.try_emplace(first);
  Search& search = found->second;
  search.handlers.push_back(std::move(handler));
  if (is_new) {
    search.timer = std::make_unique<net::Timer>(this->loop);
    search.timer->Start(kKeepersTimeout,
                        [this, first] { this->AskAll(first); });
    this->ask(first, false);
  }
}

void StreamOriginLookup::AskAll(const base::RequestId& first) {
  const auto found = this->searches.find(first);
  if (found == this->searches.end()) {
    return;
  }
  found->second.timer->Start(kAllTimeout,
                             [this, id = first] { this->End(id); });
  this->ask(first, true);
}

void StreamOriginLookup::NoteLearned(const base::RequestId& first) {
  if (this->searches.contains(first)) {
    this->End(first);
  }
}

void StreamOriginLookup::End(const base::RequestId& first) {
  auto search = this->searches.extract(first);
  if (search.empty()) {
    return;
  }
  const auto version = this->state.stream_origins.Find(first);
  for (const Handler& handler : search.mapped().handlers) {
    handler(version);
  }
}

}  // namespace carawayvalve::gateway
