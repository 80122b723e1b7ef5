#include "carawayvalve/base/deflate.h"

#include <zlib.h>

#include <algorithm>

namespace carawayvalve::base {

namespace {

// zlib's window with no header or checksum.
constexpr int kRawWindowBits = -15;
constexpr int kMemoryLevel = 8;
// What one round of Inflate adds.
constexpr size_t kRoundBytes = size_t{64} * 1024;

// zlib doesn't alter its input, but takes it as if it did.
Bytef* InputOf(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

// Sets the rest of `text` as the output.
void SetOutput(z_stream& stream, std::string& text) {
  stream.next_out = reinterpret_cast<Bytef*>(text.data() + stream.total_out);
  stream.avail_out = static_cast<uInt>(text.size() - stream.total_out);
}

}  // namespace

std::string Deflate(std::string_view text) {
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kRawWindowBits, kMemoryLevel,
               Z_DEFAULT_STRATEGY);
  std::string data(deflateBound(&stream, text.size()), '\0');
  stream.next_in = InputOf(text);
  stream.avail_in = static_cast<uInt>(text.size());
  SetOutput(stream, data);
  deflate(&stream, Z_FINISH);
  data.resize(stream.total_out);
  deflateEnd(&stream);
  return data;
}

std::optional<std::string> Inflate(std::string_view data, size_t max_bytes) {
  z_stream stream{};
  inflateInit2(&stream, kRawWindowBits);
  stream.next_in = InputOf(data);
  stream.avail_in = static_cast<uInt>(data.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && stream.total_out <= max_bytes) {
    text.resize(std::min(stream.total_out + kRoundBytes, max_bytes + 1));
    SetOutput(stream, text);
    result = inflate(&stream, Z_NO_FLUSH);
  }
  const bool is_complete =
      result == Z_STREAM_END && stream.total_out <= max_bytes;
  text.resize(stream.total_out);
  inflateEnd(&stream);
  return is_complete ? std::optional(text) : std::nullopt;
}

}  // namespace carawayvalve::base
