#include "framing.h"

#include <thrift/TApplicationException.h>
#include <thrift/TConfiguration.h>

#include <algorithm>
#include <utility>

#include "carawayvalve/wire/limits.h"

namespace carawayvalve::wire::detail {

using apache::thrift::TApplicationException;
using apache::thrift::TConfiguration;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TList;
using apache::thrift::protocol::TMap;
using apache::thrift::protocol::TMessageType;
using apache::thrift::protocol::TProtocol;
using apache::thrift::protocol::TSet;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;

namespace {

// The size field before each message.
constexpr uint32_t kFrameHeaderBytes = 4;

std::shared_ptr<TConfiguration> MakeConfiguration() {
  return std::make_shared<TConfiguration>(static_cast<int>(kMaxMessageBytes),
                                          static_cast<int>(kMaxMessageBytes));
}

[[noreturn]] void ThrowMissing(const std::string& what) {
  throw TTransportException(TTransportException::CORRUPTED_DATA,
                            "the message lacks " + what + " that it states");
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
  this->elements = 0;
  return read;
}

void LimitedFramedTransport::CountElements(uint32_t elements, int min_bytes) {
  const auto unread = static_cast<uint64_t>(this->rBound_ - this->rBase_);
  if (static_cast<uint64_t>(elements) * static_cast<uint64_t>(min_bytes) >
      unread) {
    ThrowMissing("elements");
  }
  this->elements += elements;
  if (this->elements > kMaxMessageElements) {
    throw TTransportException(TTransportException::CORRUPTED_DATA,
                              "the message has more than " +
                                  std::to_string(kMaxMessageElements) +
                                  " elements");
  }
}

// Thrift would otherwise take memory for the string first.
const uint8_t* LimitedFramedTransport::borrowSlow(uint8_t*, uint32_t*) {
  ThrowMissing("a string");
}

LimitedProtocol::LimitedProtocol(
    const std::shared_ptr<LimitedFramedTransport>& transport)
    : TBinaryProtocol(transport), transport(*transport) {}

void LimitedProtocol::checkReadBytesAvailable(TSet& set) {
  this->transport.CountElements(set.size_, this->MinBytes(set.elemType_));
}

void LimitedProtocol::checkReadBytesAvailable(TList& list) {
  this->transport.CountElements(list.size_, this->MinBytes(list.elemType_));
}

void LimitedProtocol::checkReadBytesAvailable(TMap& map) {
  this->transport.CountElements(
      map.size_, this->MinBytes(map.keyType_) + this->MinBytes(map.valueType_));
}

// Thrift names zero for a structure, which takes a byte when it is empty.
int LimitedProtocol::MinBytes(TType type) {
  return std::max(this->getMinSerializedSize(type), 1);
}

uint32_t ClientProtocol::writeMessageBegin_virt(const std::string& name,
                                                TMessageType type,
                                                int32_t /*sequence*/) {
  return LimitedProtocol::writeMessageBegin_virt(
      name, type, static_cast<int32_t>(++this->call));
}

uint32_t ClientProtocol::readMessageBegin_virt(std::string& name,
                                               TMessageType& type,
                                               int32_t& sequence) {
  const uint32_t bytes =
      LimitedProtocol::readMessageBegin_virt(name, type, sequence);
  if (static_cast<uint32_t>(sequence) != this->call) {
    throw TApplicationException(TApplicationException::BAD_SEQUENCE_ID,
                                "the answer is that to another call");
  }
  return bytes;
}

std::shared_ptr<TProtocol> LimitedProtocolFactory::getProtocol(
    std::shared_ptr<TTransport> transport) {
  return std::make_shared<LimitedProtocol>(
      std::dynamic_pointer_cast<LimitedFramedTransport>(transport));
}

std::shared_ptr<TTransport> LimitedFramedTransportFactory::getTransport(
    std::shared_ptr<TTransport> socket) {
  return std::make_shared<LimitedFramedTransport>(std::move(socket));
}

}  // namespace carawayvalve::wire::detail
