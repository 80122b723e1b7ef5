#ifndef CARAWAYVALVE_WIRE_SRC_FRAMING_H_
#define CARAWAYVALVE_WIRE_SRC_FRAMING_H_

#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TTransport.h>
#include <thrift/transport/TTransportException.h>

#include <cstdint>
#include <memory>

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

 protected:
  bool readFrame() override;
};

class LimitedFramedTransportFactory
    : public apache::thrift::transport::TTransportFactory {
 public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
      std::shared_ptr<apache::thrift::transport::TTransport> socket) override;
};

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_FRAMING_H_
