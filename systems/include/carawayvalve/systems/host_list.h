#ifndef CARAWAYVALVE_SYSTEMS_HOST_LIST_H_
#define CARAWAYVALVE_SYSTEMS_HOST_LIST_H_

#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::systems {

enum class HostRole { kEntry, kBackend };

// A host of the platform's list and the carawayvalve process that runs on it.
struct Host {
  base::HostId name;
  base::DataCentreId data_centre;
  base::RegionId region;
  HostRole role = HostRole::kBackend;
  // Host and port on which the process serves Thrift.
  std::string address;
  // Empty for entry hosts.
  base::ServiceId service;
  // True while the host is being taken out of service.
  bool leaving = false;

  bool operator==(const Host&) const = default;
};

// Adapter to the platform's host list.
class HostList {
 public:
  explicit HostList(std::string address);

  // Returns the live and leaving hosts, sorted by name. Throws base::Error when
  // the list can't be read.
  std::vector<Host> Read() const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_HOST_LIST_H_
