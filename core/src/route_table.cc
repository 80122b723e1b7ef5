#include "carawayvalve/core/route_table.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace carawayvalve::core {

namespace {

using Segments = std::vector<std::string>;

std::string NormalizeHost(const std::string& host) {
  std::string name = host;
  // A colon inside brackets belongs to an IPv6 address.
  const size_t colon = name.rfind(':');
  if (colon != std::string::npos &&
      name.find(']', colon) == std::string::npos) {
    name.erase(colon);
  }
  if (name.ends_with('.')) {
    name.pop_back();
  }
  std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
    const bool upper = letter >= 'A' && letter <= 'Z';
    return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return name;
}

std::optional<int> HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return std::nullopt;
}

// Returns the percent-decoded segment, or nullopt if the encoding is invalid or
// the segment contains an encoded separator.
std::optional<std::string> DecodeSegment(std::string_view segment) {
  constexpr size_t kEncodedBytes = 3;
  std::string decoded;
  for (size_t i = 0; i < segment.size(); ++i) {
    char byte = segment[i];
    if (byte == '%') {
      if (i + kEncodedBytes > segment.size()) {
        return std::nullopt;
      }
      const std::optional<int> high = HexDigit(segment[i + 1]);
      const std::optional<int> low = HexDigit(segment[i + 2]);
      if (!high || !low) {
        return std::nullopt;
      }
      byte = static_cast<char>(*high * 16 + *low);
      i += kEncodedBytes - 1;
    }
    if (byte == '/' || byte == '\\' || byte == '\0') {
      return std::nullopt;
    }
    decoded.push_back(byte);
  }
  return decoded;
}

bool IsDotSegment(const std::string& segment) {
  return segment == "." || segment == "..";
}

// Returns the decoded segments of a path, or nullopt if the path is ambiguous.
// A trailing slash is ignored.
std::optional<Segments> SplitPath(std::string_view path) {
  path = path.substr(0, path.find_first_of("?#"));
  if (!path.starts_with('/')) {
    return std::nullopt;
  }
  path.remove_prefix(1);
  if (path.ends_with('/')) {
    path.remove_suffix(1);
    if (path.empty()) {
      return std::nullopt;
    }
  }
  Segments segments;
  while (!path.empty()) {
    const size_t end = std::min(path.find('/'), path.size());
    const std::optional<std::string> segment =
        DecodeSegment(path.substr(0, end));
    if (!segment || segment->empty() || IsDotSegment(*segment)) {
      return std::nullopt;
    }
    segments.push_back(*segment);
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return segments;
}

bool IsPrefix(const Segments& prefix, const Segments& segments) {
  return prefix.size() <= segments.size() &&
         std::equal(prefix.begin(), prefix.end(), segments.begin());
}

bool AllowsMethod(const config::Route& route, const std::string& method) {
  return route.methods.empty() ||
         std::find(route.methods.begin(), route.methods.end(), method) !=
             route.methods.end();
}

}  // namespace

RouteTable::RouteTable(const config::Declaration& declaration) {
  for (const config::Service& service : declaration.services) {
    this->services.emplace(service.name, service);
    for (const base::ModelId& model : service.models) {
      this->models.emplace(model, service.name);
    }
  }
  for (const config::Route& route : declaration.routes) {
    const std::optional<Segments> segments = SplitPath(route.path_prefix);
    if (segments) {
      this->hosts[NormalizeHost(route.host)].push_back({*segments, route});
    }
  }
  for (auto& [host, entries] : this->hosts) {
    std::stable_sort(entries.begin(), entries.end(),
                     [](const Entry& one, const Entry& other) {
                       return one.segments.size() > other.segments.size();
                     });
  }
}

RouteResult RouteTable::Match(const std::string& host,
                              const std::string& path,
                              const std::string& method) const {
  const std::optional<Segments> segments = SplitPath(path);
  if (!segments) {
    return NoSuchPath{"the path can be read in more than one way"};
  }
  const std::string name = NormalizeHost(host);
  for (const std::string& candidate : {name, std::string()}) {
    const auto result = this->MatchHost(candidate, *segments, method);
    if (result) {
      return *result;
    }
  }
  return NoSuchPath{"no route leads there"};
}

std::optional<RouteResult> RouteTable::MatchHost(
    const std::string& host,
    const Segments& segments,
    const std::string& method) const {
  const auto found = this->hosts.find(host);
  if (found == this->hosts.end()) {
    return std::nullopt;
  }
  std::optional<size_t> matched_size;
  std::set<std::string> allowed;
  for (const Entry& entry : found->second) {
    if (matched_size && entry.segments.size() < *matched_size) {
      break;
    }
    if (!IsPrefix(entry.segments, segments)) {
      continue;
    }
    if (AllowsMethod(entry.route, method)) {
      return RouteFound{entry.route};
    }
    matched_size = entry.segments.size();
    allowed.insert(entry.route.methods.begin(), entry.route.methods.end());
  }
  if (!matched_size) {
    return std::nullopt;
  }
  return MethodNotAllowed{{allowed.begin(), allowed.end()}};
}

std::optional<config::Service> RouteTable::ServiceOfModel(
    const base::ModelId& model) const {
  const auto found = this->models.find(model);
  if (found == this->models.end()) {
    return std::nullopt;
  }
  return this->FindService(found->second);
}

std::optional<config::Service> RouteTable::FindService(
    const base::ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool MayRepeat(const config::Route& route, const std::string& method) {
  constexpr std::array<std::string_view, 5> kIdempotentMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  switch (route.repeat) {
    case config::Repeat::kAlways:
      return true;
    case config::Repeat::kNever:
      return false;
    case config::Repeat::kByMethod:
      break;
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

}  // namespace carawayvalve::core
