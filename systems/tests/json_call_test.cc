#include "json_call.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::systems {

TEST_CASE("EscapeSegment keeps a name within one segment of a path") {
  CHECK(rc::check("segments", [](const std::string& name) {
    const std::string escaped = detail::EscapeSegment(name);
    RC_ASSERT(escaped.find_first_of("/?#&= \r\n") == std::string::npos);
    std::string read;
    for (size_t i = 0; i < escaped.size(); ++i) {
      const bool is_escape = escaped[i] == '%';
      read.push_back(is_escape ? static_cast<char>(std::stoi(
                                     escaped.substr(i + 1, 2), nullptr, 16))
                               : escaped[i]);
      i += is_escape ? 2 : 0;
    }
    RC_ASSERT(read == name);
  }));
}

}  // namespace carawayvalve::systems
