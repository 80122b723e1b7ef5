#include "host_list_poller.h"

#include <utility>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::entry {

namespace {

constexpr base::Milliseconds kPollInterval{500};

}  // namespace

HostListPoller::HostListPoller(const std::string& address, Listener listener)
    : list(address), listener(std::move(listener)), log("hosts") {
  this->thread = std::thread([this] { this->Run(); });
}

HostListPoller::~HostListPoller() {
  this->stopping = true;
  this->thread.join();
}

std::vector<systems::Host> HostListPoller::WithUsableAddress(
    const std::vector<systems::Host>& hosts) const {
  std::vector<systems::Host> usable;
  usable.reserve(hosts.size());
  for (const systems::Host& host : hosts) {
    try {
      base::ToSocketAddress(base::ParseAddress(host.address));
      usable.push_back(host);
    } catch (const base::Error& error) {
      this->log.Warn("A host has no usable address.",
                     {.peer = host.name.value, .step = error.step()});
    }
  }
  return usable;
}

void HostListPoller::Run() {
  while (!this->stopping) {
    try {
      this->listener(this->WithUsableAddress(this->list.Read()));
    } catch (const base::Error& error) {
      this->log.Warn("The host list can't be read.",
                     {.peer = error.peer(), .step = error.step()});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace carawayvalve::entry
