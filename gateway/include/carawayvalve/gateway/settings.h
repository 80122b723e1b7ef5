#ifndef CARAWAYVALVE_GATEWAY_SETTINGS_H_
#define CARAWAYVALVE_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/journal.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/features.h"

namespace carawayvalve::gateway {

// Settings of a gateway, an entry process that sends requests directly to
// backend servers.
struct GatewaySettings {
  base::HostId host;
  base::DataCentreId data_centre;

  struct Listen {
    base::Address callers;
    base::Address readiness;
    base::Address metrics;
    // For datagrams and calls from other gateways.
    base::Address peers;

    bool operator==(const Listen&) const = default;
  } listen;

  struct Store {
    base::Address address;
    // Timeout of calls other than watches.
    base::Milliseconds call_timeout{1000};
    // The interval at which backend servers write their entries.
    base::Milliseconds report_interval{1200};
    // Time for which a watch waits for a change. The age of the keys counts
    // from when a watch was sent, so this is part of their staleness.
    base::Milliseconds watch_wait{2000};

    bool operator==(const Store&) const = default;
  } store;

  struct Duties {
    base::Address address;
    base::Milliseconds usage_window{5000};
    // Time from a window's end after which its report is late.
    base::Milliseconds usage_late{10000};
    // Duration of the duties' lease: two holders never act within this time of
    // each other.
    base::Milliseconds lease{3000};

    bool operator==(const Duties&) const = default;
  } duties;

  struct Bounds {
    // Time for which a key may still be accepted after its withdrawal.
    base::Milliseconds key_withdrawal{5000};
    // Time from the request to stop until the process is killed.
    base::Milliseconds stop{8000};
    // Retry budget that all gateways share, see core::RetryBudgetShare.
    double retry_ratio = 0.2;
    double retry_slack = 0;
    base::Milliseconds retry_window{10000};
    // By how much the requests of a client account may exceed its rate limit
    // in any span of `account_window`: by this fraction of what the limit
    // allows in it, plus `account_slack` requests or tokens.
    double account_tolerance = 0;
    double account_slack = 0;
    base::Milliseconds account_window{1000};

    bool operator==(const Bounds&) const = default;
  } bounds;

  // The memory that the process may use, in bytes.
  size_t memory_bytes = size_t{256} * 1024 * 1024;

  config::Features features;
  // Spreads requests over backend servers that are equally good in view of how
  // old their figures are, see core::ChooseCandidate.
  bool even_load = false;

  base::Journal::Settings log;

  bool operator==(const GatewaySettings&) const = default;
};

// Reads settings, which are JSON with comments; `source` names them in errors.
// Throws a base::Error that lists every fault with its path.
GatewaySettings ReadGatewaySettings(const std::string& text,
                                    const std::string& source);
// Reads the settings in a file, with the same errors. Also throws if the file
// can't be opened.
GatewaySettings ReadGatewaySettingsFile(const std::string& path);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SETTINGS_H_
