#include "usage_gossip.h"

#include <chrono>
#include <utility>

namespace carawayvalve::gateway {

using wire::gen::Gossip;

namespace {

// Changed counts are repeated for this time.
constexpr std::chrono::seconds kRepeatTime(2);
// The number of newest usage windows that are sent; older ones are sealed.
constexpr int64_t kWindowsSent = 2;
// Keeps a datagram small enough not to be fragmented.
constexpr size_t kMaxAccountsPerDatagram = 60;

// Returns the entry of the message for the window and source of `part`, which
// is added if it isn't the last one.
wire::gen::GossipWindow& WindowOf(Gossip& message,
                                  const core::WindowCountsPart& part) {
  auto& windows = message.windows;
  if (windows.empty() || windows.back().window != part.window ||
      windows.back().source != part.source.value) {
    wire::gen::GossipWindow encoded;
    encoded.window = part.window;
    encoded.source = part.source.value;
    windows.push_back(std::move(encoded));
  }
  return windows.back();
}

std::vector<Gossip> MessagesOf(const std::vector<core::WindowCountsPart>& parts,
                               const Gossip& base) {
  std::vector<Gossip> messages;
  size_t accounts_in_message = kMaxAccountsPerDatagram;
  for (const core::WindowCountsPart& part : parts) {
    for (const auto& [account, count] : part.counts) {
      if (accounts_in_message >= kMaxAccountsPerDatagram) {
        messages.push_back(base);
        accounts_in_message = 0;
      }
      WindowOf(messages.back(), part).counts[account.value] = count;
      ++accounts_in_message;
    }
  }
  return messages;
}

}  // namespace

UsageGossip::UsageGossip(Context& context)
    : context(context), changes(kRepeatTime) {}

std::vector<core::WindowCountsPart> UsageGossip::RecentCounts(
    bool all_sources) const {
  const GatewayState& state = this->context.state;
  const int64_t current_window =
      state.wall_clock.At(base::Now()) /
      base::Duration(state.settings.duties.usage_window);
  auto parts = state.usage.Parts(current_window - kWindowsSent + 1);
  if (!all_sources) {
    std::erase_if(parts, [&](const core::WindowCountsPart& part) {
      return part.source != state.boot;
    });
  }
  return parts;
}

std::vector<Gossip> UsageGossip::Messages(bool all_sources,
                                          const Gossip& base) const {
  return MessagesOf(this->RecentCounts(all_sources), base);
}

std::vector<Gossip> UsageGossip::TakeChanges(const Gossip& base) {
  return MessagesOf(
      this->changes.Update(this->RecentCounts(false), base::Now()), base);
}

void UsageGossip::Apply(const Gossip& gossip) {
  for (const wire::gen::GossipWindow& window : gossip.windows) {
    core::WindowCountsPart part{window.window, {window.source}, {}};
    for (const auto& [account, count] : window.counts) {
      part.counts[{account}] = count;
    }
    this->context.state.usage.Merge(part);
  }
}

}  // namespace carawayvalve::gateway
