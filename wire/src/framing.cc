#include "framing.h"

#include <thrift/TConfiguration.h>

#include <utility>

#include "carawayvalve/wire/limits.h"

namespace carawayvalve::wire::detail {

using apache::thrift::TConfiguration;
using apache::thrift::transport::TTransport;

namespace {

// The size field before each message.
constexpr uint32_t kFrameHeaderBytes = 4;

std::shared_ptr<TConfiguration> MakeConfiguration() {
  return std::make_shared<TConfiguration>(static_cast<int>(kMaxMessageBytes),
                                          static_cast<int>(kMaxMessageBytes));
}

}  // namespace

MessageTooLong::MessageTooLong()
    : TTransportException(TTransportException::BAD_ARGS,
                          "the message is longer than " +
                              std::to_string(kMaxMessageBytes) + " bytes") {}

LimitedFramedTransport::LimitedFramedTransport(
    std::shared_ptr<TTransport> socket)
    : TFramedTransport(std::move(socket),
                       TFramedTransport::DEFAULT_BUFFER_SIZE,
                       kReclaimBytes,
                       MakeConfiguration()) {}

void LimitedFramedTransport::flush() {
  const auto message_and_header_bytes =
      static_cast<size_t>(this->wBase_ - this->wBuf_.get());
  if (message_and_header_bytes > kFrameHeaderBytes + kMaxMessageBytes) {
    this->wBase_ = this->wBuf_.get() + kFrameHeaderBytes;
    throw MessageTooLong();
  }
  TFramedTransport::flush();
}

// Thrift counts the bytes of all messages against the limit of one message, so
// the count is reset with each frame.
bool LimitedFramedTransport::readFrame() {
  const bool read = TFramedTransport::readFrame();
  this->resetConsumedMessageSize();
  return read;
}

std::shared_ptr<TTransport> LimitedFramedTransportFactory::getTransport(
    std::shared_ptr<TTransport> socket) {
  return std::make_shared<LimitedFramedTransport>(std::move(socket));
}

}  // namespace carawayvalve::wire::detail
