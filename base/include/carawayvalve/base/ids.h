#ifndef CARAWAYVALVE_BASE_IDS_H_
#define CARAWAYVALVE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace carawayvalve::base {

// A string identifier; `Tag` makes each kind of identifier a distinct type.
template <typename Tag>
struct Id {
  std::string value;

  auto operator<=>(const Id&) const = default;
  bool empty() const { return this->value.empty(); }
};

using HostId = Id<struct HostTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using BackendServerId = Id<struct BackendServerTag>;
using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;
using ModelId = Id<struct ModelTag>;
using RequestId = Id<struct RequestTag>;
using AttemptId = Id<struct AttemptTag>;
// Identifies one run of a process; a restart gets a new one.
using BootId = Id<struct BootTag>;

// Returns 128 random bits in hexadecimal.
std::string RandomName();

// Returns the SHA-256 digest of `text` in hexadecimal.
std::string Sha256(const std::string& text);

// Returns a non-cryptographic 64-bit hash of `text` that is the same on every
// host.
uint64_t StableHash(const std::string& text);

}  // namespace carawayvalve::base

template <typename Tag>
struct std::hash<carawayvalve::base::Id<Tag>> {
  size_t operator()(const carawayvalve::base::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

#endif  // CARAWAYVALVE_BASE_IDS_H_
