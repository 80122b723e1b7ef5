#include "carawayvalve/entry/configuration_store.h"

#include <utility>

#include "configuration_objects.h"

namespace carawayvalve::entry {

ConfigurationStore::ConfigurationStore(systems::ObjectApi api,
                                       std::string writer)
    : api(std::move(api)), writer(std::move(writer)) {}

std::optional<config::Configuration> ConfigurationStore::Read() const {
  detail::StoredConfiguration found = detail::ReadStored(this->api);
  if (found.stored.version == 0) {
    return std::nullopt;
  }
  return std::move(found.configuration);
}

int64_t ConfigurationStore::ReadGeneration() const {
  return detail::ReadPointer(this->api).pointer.current.generation;
}

ConfigurationChange ConfigurationStore::Change(
    const ConfigurationFunction& wanted) const {
  return detail::ChangeStored(this->api, this->writer, wanted);
}

std::optional<config::Configuration> ConfigurationStore::Watch(
    int64_t generation,
    base::Milliseconds wait) {
  return detail::WatchStored(this->api, this->watch_state, generation, wait);
}

}  // namespace carawayvalve::entry
