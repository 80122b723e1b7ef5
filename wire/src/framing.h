#ifndef CARAWAYVALVE_WIRE_SRC_FRAMING_H_
#define CARAWAYVALVE_WIRE_SRC_FRAMING_H_

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TTransport.h>
#include <thrift/transport/TTransportException.h>

#include <cstdint>
#include <memory>
#include <string>

namespace carawayvalve::wire::detail {

// A connection frees its buffers after a message longer than this, in bytes.
inline constexpr uint32_t kReclaimBytes = 64 * 1024;

// Thrown for a message over kMaxMessageBytes, of which no byte has been sent.
class MessageTooLong : public apache::thrift::transport::TTransportException {
 public:
  MessageTooLong();
};

// Thrift's framed transport, limited to messages of kMaxMessageBytes. Used by
// clients and servers.
class LimitedFramedTransport
    : public apache::thrift::transport::TFramedTransport {
 public:
  explicit LimitedFramedTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> socket);

  // Throws MessageTooLong.
  void flush() override;

  // Counts the elements that a container of the message being read states, each
  // of which takes `min_bytes` or more. Throws a TTransportException when the
  // rest of the message can't hold them, or when the containers of the message
  // have more than kMaxMessageElements together.
  void CountElements(uint32_t elements, int min_bytes);

 protected:
  bool readFrame() override;
  // Throws a TTransportException, as the message being read lacks the bytes.
  const uint8_t* borrowSlow(uint8_t* buf, uint32_t* len) override;

 private:
  // Of the message being read.
  uint64_t elements = 0;
};

// Thrift's binary protocol. Checks the size that a container states before
// memory is taken for its elements.
class LimitedProtocol : public apache::thrift::protocol::TBinaryProtocol {
 public:
  explicit LimitedProtocol(
      const std::shared_ptr<LimitedFramedTransport>& transport);

 protected:
  void checkReadBytesAvailable(apache::thrift::protocol::TSet& set) override;
  void checkReadBytesAvailable(apache::thrift::protocol::TList& list) override;
  void checkReadBytesAvailable(apache::thrift::protocol::TMap& map) override;

 private:
  // Returns the bytes that a value of the type takes at least.
  int MinBytes(apache::thrift::protocol::TType type);

  LimitedFramedTransport& transport;
};

// The protocol of a client, for one connection. Numbers its calls, as Thrift's
// clients don't, and takes no answer that bears another number than the call.
class ClientProtocol : public LimitedProtocol {
 public:
  using LimitedProtocol::LimitedProtocol;

  uint32_t writeMessageBegin_virt(const std::string& name,
                                  apache::thrift::protocol::TMessageType type,
                                  int32_t sequence) override;
  // Throws a TApplicationException if the answer is that to another call.
  uint32_t readMessageBegin_virt(std::string& name,
                                 apache::thrift::protocol::TMessageType& type,
                                 int32_t& sequence) override;

 private:
  // The number of the last call.
  uint32_t call = 0;
};

// Takes transports of LimitedFramedTransportFactory only.
class LimitedProtocolFactory
    : public apache::thrift::protocol::TProtocolFactory {
 public:
  std::shared_ptr<apache::thrift::protocol::TProtocol> getProtocol(
      std::shared_ptr<apache::thrift::transport::TTransport> transport)
      override;
};

class LimitedFramedTransportFactory
    : public apache::thrift::transport::TTransportFactory {
 public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> socket) override;
};

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_FRAMING_H_
