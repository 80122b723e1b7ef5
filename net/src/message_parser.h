#ifndef CARAWAYVALVE_NET_SRC_MESSAGE_PARSER_H_
#define CARAWAYVALVE_NET_SRC_MESSAGE_PARSER_H_

// Asio of Debian 12 uses std::exchange without including it.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>

#include "carawayvalve/net/message.h"

namespace carawayvalve::net::detail {

inline constexpr size_t kMaxFields = 256;
// Three digits may also begin with zeros, which is no status.
inline constexpr int kMinStatus = 100;

// Returns whether `text`, a part of a response's head, holds the beginning of a
// status line: then the response was cut, and another one follows.
inline bool HasStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  const size_t at = text.rfind(kVersion);
  if (at == std::string_view::npos) {
    return false;
  }
  // After the version's last digit and a space.
  const size_t status = at + kVersion.size() + 2;
  return status < text.size() && text[status] >= '1' && text[status] <= '9';
}

// Returns whether a body with this Transfer-Encoding can be read: any coding
// but chunks would have to be undone before the body is what the server meant.
inline bool IsReadCoding(std::string_view codings) {
  return SameFieldName(codings, "chunked") ||
         SameFieldName(codings, "identity");
}

// Parses one HTTP/1.1 message incrementally with Beast's parser.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Error = boost::beast::error_code;

  MessageParser() { this->eager(true); }

  // Parses and removes the bytes at the front of `input` that belong to this
  // message. Returns the parse error, if any. Beast consumes the line of a
  // chunk's size and the trailers only as a whole, with no limit of its own:
  // header_limit if more than `max_pending` bytes wait for their end.
  Error Read(std::string& input, size_t max_pending) {
    Error error;
    size_t used = 0;
    while (used < input.size() && !this->is_done()) {
      const size_t taken = this->put(
          boost::asio::buffer(input.data() + used, input.size() - used), error);
      used += taken;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (error || taken == 0) {
        break;
      }
    }
    input.erase(0, used);
    if (!error && !this->is_done() && input.size() > max_pending) {
      return boost::beast::http::error::header_limit;
    }
    return error;
  }

  // The message as parsed so far.
  std::string method;
  std::string target;
  int status = 0;
  // 11 for HTTP/1.1.
  int http_version = 0;
  HeaderFields fields;
  std::string body;

  // Returns the memory that the head needs, in bytes.
  size_t head_bytes() const { return this->stored_head_bytes; }

 private:
  using View = boost::beast::string_view;

  static std::string ToString(View view) {
    return std::string(view.data(), view.size());
  }

  void on_request_impl(boost::beast::http::verb /*verb*/,
                       View method_text,
                       View target_text,
                       int version,
                       Error& /*error*/) override {
    this->http_version = version;
    this->method = ToString(method_text);
    this->target = ToString(target_text);
  }
  void on_response_impl(int code,
                        View reason,
                        int /*version*/,
                        Error& error) override {
    this->status = code;
    if (code < kMinStatus) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    if (HasStatusLine({reason.data(), reason.size()})) {
      error = boost::beast::http::error::bad_reason;
    }
  }
  void on_field_impl(boost::beast::http::field /*field*/,
                     View name,
                     View value,
                     Error& error) override {
    // Drops trailers.
    if (this->is_header_done()) {
      return;
    }
    // A field of four bytes needs many times as much.
    if (this->fields.size() == kMaxFields) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    if (!kIsRequest && HasStatusLine({value.data(), value.size()})) {
      error = boost::beast::http::error::bad_value;
      return;
    }
    if (!kIsRequest &&
        SameFieldName({name.data(), name.size()}, "Transfer-Encoding") &&
        !IsReadCoding({value.data(), value.size()})) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    this->fields.push_back({ToString(name), ToString(value)});
    this->stored_head_bytes += sizeof(HeaderField) + name.size() + value.size();
  }
  void on_header_impl(Error& /*error*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         Error& /*error*/) override {}
  size_t on_body_impl(View data, Error& /*error*/) override {
    this->body.append(data.data(), data.size());
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            View /*extensions*/,
                            Error& /*error*/) override {}
  size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                            View data,
                            Error& /*error*/) override {
    this->body.append(data.data(), data.size());
    return data.size();
  }
  void on_finish_impl(Error& /*error*/) override {}

  size_t stored_head_bytes = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_MESSAGE_PARSER_H_
