#ifndef CARAWAYVALVE_CONFIG_SRC_VOCABULARY_H_
#define CARAWAYVALVE_CONFIG_SRC_VOCABULARY_H_

#include <cstdint>
#include <string>
#include <vector>

// The keywords, characters and ranges that a declaration may contain.
namespace carawayvalve::config::detail {

// In the order of the enumerators.
const std::vector<std::string>& ServiceKindWords();
const std::vector<std::string>& RepeatWords();
const std::vector<std::string>& RateUnitWords();
const std::vector<std::string>& MethodWords();

inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kMaxLabelBytes = 128;
inline constexpr size_t kMaxHostBytes = 253;
inline constexpr size_t kMaxPathBytes = 1024;
inline constexpr size_t kSha256HexDigits = 64;

inline constexpr int64_t kMaxWeight = 1000;
inline constexpr int64_t kMaxRequestsInFlight = 1000000;
// One request in ten minutes.
inline constexpr double kMinPerSecond = 1.0 / 600;
inline constexpr int64_t kMaxPerSecond = 1000000000;
inline constexpr int64_t kMaxBackendServers = 10000;
inline constexpr int64_t kMaxQueued = 100000;
inline constexpr int64_t kMaxDeadlineMs = 3600000;
inline constexpr int64_t kMaxDwellMs = 86400000;
inline constexpr int64_t kMinStalenessLimitMs = 100;
inline constexpr int64_t kMaxStalenessLimitMs = 600000;
inline constexpr int64_t kMaxBalancerDelayMs = 600000;
inline constexpr int64_t kMinUsageWindowMs = 100;
inline constexpr int64_t kMaxUsageWindowMs = 86400000;

// The values allowed in a text field, and their description in a fault.
struct TextRule {
  bool (*holds)(const std::string& text);
  const char* allowed;
};

extern const TextRule kNameRule;
extern const TextRule kLabelRule;
extern const TextRule kHostRule;
extern const TextRule kPathRule;
extern const TextRule kSha256Rule;

}  // namespace carawayvalve::config::detail

#endif  // CARAWAYVALVE_CONFIG_SRC_VOCABULARY_H_
