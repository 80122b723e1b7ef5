#ifndef CARAWAYVALVE_ENTRY_SRC_PEER_HANDLER_H_
#define CARAWAYVALVE_ENTRY_SRC_PEER_HANDLER_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "EntryPeer.h"
#include "account_rates.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/entry/settings.h"
#include "configuration_feed.h"
#include "traffic_control.h"
#include "usage_collector.h"

namespace carawayvalve::entry {

// Answers the Thrift calls of other entry processes.
class PeerHandler : public wire::gen::EntryPeerIf {
 public:
  struct Sources {
    const EntrySettings& settings;
    const base::BootId& boot;
    ConfigurationFeed& feed;
    TrafficControl& control;
    const std::atomic<bool>& leaving;
    std::function<std::vector<std::string>()> duties_held;
    UsageCollector& usage;
    AccountRates& rates;
  };

  explicit PeerHandler(const Sources& sources) : sources(sources) {}

  void configuration(wire::gen::ConfigurationCopy& answer,
                     int64_t known_generation,
                     int64_t wait_ms) override;
  void status(wire::gen::PeerStatus& answer) override;
  void usage(std::vector<wire::gen::UsageCounters>& answer,
             int64_t since_window,
             int64_t open_window) override;
  void report_deaths(const std::vector<wire::gen::DeathMark>& deaths) override;
  void exchange_credit(wire::gen::CreditAnswer& answer,
                       const wire::gen::CreditMessage& message) override;

 private:
  Sources sources;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_PEER_HANDLER_H_
