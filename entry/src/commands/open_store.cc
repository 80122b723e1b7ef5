#include "open_store.h"

#include <unistd.h>

#include <array>
#include <cstdlib>

namespace carawayvalve::entry::commands {

namespace {

std::string OperatorName() {
  constexpr size_t kMaxHostNameBytes = 256;
  std::array<char, kMaxHostNameBytes> host{};
  if (gethostname(host.data(), host.size() - 1) != 0) {
    host[0] = '?';
  }
  const char* user = std::getenv("USER");
  return std::string(user == nullptr ? "?" : user) + "@" + host.data();
}

}  // namespace

ConfigurationStore OpenStore(const std::string& address) {
  return ConfigurationStore(systems::ObjectApi(address), OperatorName());
}

ConfigurationChange ChangeDespiteConflicts(
    const ConfigurationStore& store,
    const ConfigurationFunction& wanted) {
  constexpr int kMaxConflicts = 10;
  constexpr int kMaxLostAnswers = 2;
  int conflicts = 0;
  int lost_answers = 0;
  while (true) {
    try {
      return store.Change(wanted);
    } catch (const ConflictError&) {
      if (++conflicts > kMaxConflicts) {
        throw;
      }
    } catch (const base::UnknownOutcomeError&) {
      if (++lost_answers > kMaxLostAnswers) {
        throw;
      }
    }
  }
}

}  // namespace carawayvalve::entry::commands
