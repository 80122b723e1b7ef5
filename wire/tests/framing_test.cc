#include "framing.h"

#include <doctest/doctest.h>
#include <thrift/transport/TBufferTransports.h>

#include <string>

#include "carawayvalve/wire/limits.h"

namespace carawayvalve::wire::detail {

namespace {

using apache::thrift::transport::TMemoryBuffer;

// Exposes the sizes of the transport's buffers, in bytes.
class Frames : public LimitedFramedTransport {
 public:
  using LimitedFramedTransport::LimitedFramedTransport;

  uint32_t read_buffer_bytes() const { return this->rBufSize_; }
  uint32_t write_buffer_bytes() const { return this->wBufSize_; }
};

void Write(Frames& frames, uint32_t bytes) {
  const std::string message(bytes, 'a');
  frames.write(reinterpret_cast<const uint8_t*>(message.data()), bytes);
}

void Read(Frames& frames, uint32_t bytes) {
  std::string message(bytes, '\0');
  frames.readAll(reinterpret_cast<uint8_t*>(message.data()), bytes);
  frames.readEnd();
  CHECK(message == std::string(bytes, 'a'));
}

}  // namespace

TEST_CASE("LimitedFramedTransport") {
  const auto wire = std::make_shared<TMemoryBuffer>();
  Frames frames(wire);

  SUBCASE("frees its buffers after a long message") {
    Write(frames, 1024 * 1024);
    CHECK(frames.write_buffer_bytes() > kReclaimBytes);
    frames.flush();
    CHECK(frames.write_buffer_bytes() <= kReclaimBytes);
    Read(frames, 1024 * 1024);
    CHECK(frames.read_buffer_bytes() <= kReclaimBytes);
  }
  SUBCASE(
      "sends nothing of a message over the limit, and the next one intact") {
    Write(frames, kMaxMessageBytes + 1);
    CHECK_THROWS_AS(frames.flush(), MessageTooLong);
    CHECK(wire->available_read() == 0);
    Write(frames, 5);
    frames.flush();
    Read(frames, 5);
  }
  SUBCASE("carries a message of the maximum length") {
    Write(frames, kMaxMessageBytes);
    frames.flush();
    Read(frames, kMaxMessageBytes);
  }
}

}  // namespace carawayvalve::wire::detail
