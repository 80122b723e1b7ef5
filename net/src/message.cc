#include "carawayvalve/net/message.h"

// Beast of Debian 12 needs the full definition of std::ostream.
#include <ostream>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace carawayvalve::net {

namespace beast = boost::beast;

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

void AppendField(std::string& text, const HeaderField& field) {
  text += field.name;
  text += ": ";
  text += field.value;
  text += "\r\n";
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::any_of(
      names.begin(), names.end(),
      [&](const std::string& listed) { return SameFieldName(listed, name); });
}

// Returns the names listed in the Connection fields.
std::vector<std::string> ListedInConnection(const HeaderFields& fields) {
  std::vector<std::string> names;
  for (const HeaderField& field : fields) {
    if (!SameFieldName(field.name, "Connection")) {
      continue;
    }
    for (const auto& token : beast::http::token_list(field.value)) {
      names.emplace_back(token);
    }
  }
  return names;
}

}  // namespace

const char* NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnectionClose:
      return "connection";
  }
  return "connection";
}

bool SameFieldName(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* FindField(const HeaderFields& fields,
                             std::string_view name) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [&](const HeaderField& field) {
        return SameFieldName(field.name, name);
      });
  return found == fields.end() ? nullptr : &found->value;
}

int64_t CountFields(const HeaderFields& fields, std::string_view name) {
  return std::count_if(fields.begin(), fields.end(),
                       [&](const HeaderField& field) {
                         return SameFieldName(field.name, name);
                       });
}

HeaderFields EndToEndFields(const HeaderFields& fields) {
  const std::vector<std::string> listed = ListedInConnection(fields);
  HeaderFields end_to_end;
  end_to_end.reserve(fields.size());
  for (const HeaderField& field : fields) {
    const bool hop_by_hop = std::any_of(
        kHopByHopFields.begin(), kHopByHopFields.end(),
        [&](std::string_view name) { return SameFieldName(field.name, name); });
    if (!hop_by_hop && !Contains(listed, field.name)) {
      end_to_end.push_back(field);
    }
  }
  return end_to_end;
}

std::string EncodeTargetPart(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char byte : text) {
    if (kUnreserved.find(byte) != std::string_view::npos) {
      encoded += byte;
    } else {
      const auto value = static_cast<unsigned char>(byte);
      encoded += {'%', kDigits[value / 16], kDigits[value % 16]};
    }
  }
  return encoded;
}

std::string PrintRequest(const Request& request, const std::string& host) {
  std::string text;
  text.reserve(1024 + request.body.size());
  text += request.method;
  text += ' ';
  text += request.target;
  text += " HTTP/1.1\r\n";
  if (FindField(request.fields, "Host") == nullptr) {
    AppendField(text, {"Host", host});
  }
  for (const HeaderField& field : request.fields) {
    AppendField(text, field);
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    AppendField(text, {"Content-Length", std::to_string(request.body.size())});
  }
  text += "\r\n";
  text += request.body;
  return text;
}

std::string PrintResponseHead(const ResponseHead& head,
                              const HeaderFields& framing) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
  const auto reason =
      beast::http::obsolete_reason(beast::http::int_to_status(head.status));
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const HeaderField& field : head.fields) {
    AppendField(text, field);
  }
  for (const HeaderField& field : framing) {
    AppendField(text, field);
  }
  text += "\r\n";
  return text;
}

}  // namespace carawayvalve::net
