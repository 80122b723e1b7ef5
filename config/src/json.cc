#include "carawayvalve/config/json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/config/canonical.h"
#include "carawayvalve/config/document.h"
#include "cross_checks.h"
#include "read_json.h"
#include "write_json.h"

namespace carawayvalve::config {

using base::Fault;
using nlohmann::json;
using nlohmann::ordered_json;

namespace {

constexpr int kReadableIndent = 2;
constexpr int kOneLine = -1;

ordered_json ContentOf(const Configuration& configuration) {
  const Configuration sorted = Canonical(configuration);
  ordered_json keys = ordered_json::array();
  for (const Key& key : sorted.keys) {
    keys.push_back(detail::ToJson(key));
  }
  return {{"declaration", detail::ToJson(sorted.declaration)}, {"keys", keys}};
}

Configuration ReadConfiguration(const json& document,
                                std::vector<Fault>& faults) {
  constexpr int64_t kMaxGeneration = std::numeric_limits<int64_t>::max();
  base::FieldReader reader(document, "", faults);
  Configuration configuration;
  configuration.generation = reader.Integer("generation", 0, kMaxGeneration, 0);
  configuration.declaration = detail::ReadDeclaration(
      reader.Object("declaration"), reader.PathOf("declaration"), faults);
  configuration.keys =
      detail::ReadKeys(reader.Array("keys"), reader.PathOf("keys"), faults);
  reader.Finish();
  detail::CrossCheck(configuration.declaration, "/declaration", faults);
  detail::CrossCheckKeys(configuration, "/keys", faults);
  return configuration;
}

}  // namespace

Declaration ParseDeclaration(const std::string& text,
                             const std::string& source) {
  Declaration declaration;
  base::ThrowIfAny(CheckDeclaration(text, source, declaration), source);
  return declaration;
}

std::vector<Fault> CheckDeclaration(const std::string& text,
                                    const std::string& source,
                                    Declaration& declaration) {
  const json document = ParseDocument(text, source);
  std::vector<Fault> faults;
  const Declaration read = detail::ReadDeclaration(document, "", faults);
  detail::CrossCheck(read, "", faults);
  declaration = Canonical(read);
  return faults;
}

std::string PrintDeclaration(const Declaration& declaration) {
  return detail::Dump(detail::ToJson(Canonical(declaration)), kReadableIndent) +
         "\n";
}

std::vector<Fault> CheckConfiguration(const Configuration& configuration) {
  // Validates the printed form, so that parsing it back reports no faults.
  std::vector<Fault> faults;
  ReadConfiguration(
      ParseDocument(PrintConfiguration(configuration), "configuration"),
      faults);
  return faults;
}

std::string PrintContent(const Configuration& configuration) {
  return detail::Dump(ContentOf(configuration), kOneLine);
}

std::string PrintConfiguration(const Configuration& configuration) {
  ordered_json document = {{"generation", configuration.generation}};
  document.update(ContentOf(configuration));
  return detail::Dump(document, kOneLine);
}

Configuration ParseConfiguration(const std::string& text,
                                 const std::string& source) {
  std::vector<Fault> faults;
  const Configuration configuration =
      ReadConfiguration(ParseDocument(text, source), faults);
  base::ThrowIfAny(faults, source);
  return Canonical(configuration);
}

std::string Digest(const Configuration& configuration) {
  return base::Sha256(PrintContent(configuration));
}

}  // namespace carawayvalve::config
