#ifndef CARAWAYVALVE_SYSTEMS_HOST_LIST_H_
#define CARAWAYVALVE_SYSTEMS_HOST_LIST_H_

#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::systems {

enum class HostRole { kEntry, kBackend };

// One host of the platform's list, with the carawayvalve process on it.
struct Host {
  base::HostId name;
  base::DataCentreId data_centre;
  base::RegionId region;
  HostRole role = HostRole::kBackend;
  // Host and port of the process's Thrift listener.
  std::string address;
  // Empty for entry hosts.
  base::ServiceId service;
  bool leaving = false;

  bool operator==(const Host&) const = default;
};

// Adapter to the platform's host list.
class HostList {
 public:
  explicit HostList(std::string address);

  // Returns the live and leaving hosts, sorted by name. Throws base::Error.
  std::vector<Host> Read() const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_HOST_LIST_H_
