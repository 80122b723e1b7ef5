#ifndef CARAWAYVALVE_BASE_JSON_DIFFERENCE_H_
#define CARAWAYVALVE_BASE_JSON_DIFFERENCE_H_

#include <nlohmann/json.hpp>

namespace carawayvalve::base {

// Returns what turns one JSON object into another. Its size goes with the
// members that differ and, of members that are arrays, with the elements that
// differ, wherever they are inserted, changed or removed.
nlohmann::json DifferenceBetween(const nlohmann::json& from,
                                 const nlohmann::json& to);

// Throws base::Error when `difference` isn't one from `from`: the result is
// the same as the object that it was made for, or there is none.
nlohmann::json ApplyDifference(const nlohmann::json& from,
                               const nlohmann::json& difference);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_JSON_DIFFERENCE_H_
