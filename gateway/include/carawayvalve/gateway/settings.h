#ifndef CARAWAYVALVE_GATEWAY_SETTINGS_H_
#define CARAWAYVALVE_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/journal.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::gateway {

// Settings of a gateway, an entry process that sends requests to backend
// servers itself.
struct GatewaySettings {
  base::HostId host;
  base::DataCentreId data_centre;

  struct Listen {
    base::Address callers;
    base::Address readiness;
    base::Address metrics;
    // Datagrams and calls of other gateways.
    base::Address peers;

    bool operator==(const Listen&) const = default;
  } listen;

  struct Store {
    base::Address address;
    // For calls that don't wait for changes.
    base::Milliseconds call_timeout{1000};
    // How long a watch waits for a change. The age of the keys is counted from
    // when a watch was sent, so this is a part of their staleness.
    base::Milliseconds watch_wait{2000};

    bool operator==(const Store&) const = default;
  } store;

  struct Duties {
    base::Address address;
    base::Milliseconds usage_window{5000};
    // From a window's end until its report is late.
    base::Milliseconds usage_late{10000};
    // Two holders never act within this time of one another.
    base::Milliseconds lease{3000};

    bool operator==(const Duties&) const = default;
  } duties;

  struct Bounds {
    // How long after its withdrawal a key may be accepted.
    base::Milliseconds key_withdrawal{5000};
    // From the request to stop to the kill.
    base::Milliseconds stop{8000};
    // Retries of all gateways together, see core::RetryBudgetShare.
    double retry_ratio = 0.2;
    double retry_slack = 0;
    base::Milliseconds retry_window{10000};

    bool operator==(const Bounds&) const = default;
  } bounds;

  base::Journal::Settings log;

  bool operator==(const GatewaySettings&) const = default;
};

// Reads settings: JSON with comments. Throws base::Error that lists every
// fault with its path.
GatewaySettings ReadGatewaySettings(const std::string& text,
                                    const std::string& source);
GatewaySettings ReadGatewaySettingsFile(const std::string& path);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SETTINGS_H_
