#ifndef CARAWAYVALVE_WIRE_SRC_LISTENING_SOCKET_H_
#define CARAWAYVALVE_WIRE_SRC_LISTENING_SOCKET_H_

#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TTransport.h>

#include <memory>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/log.h"

namespace carawayvalve::wire::detail {

// A server socket that keeps listening when accepting a connection fails, for
// instance because the process has no free descriptor. Closes connections whose
// client is unreachable or doesn't read.
class ListeningSocket : public apache::thrift::transport::TServerSocket {
 public:
  explicit ListeningSocket(const base::Address& address);

 protected:
  std::shared_ptr<apache::thrift::transport::TTransport> acceptImpl() override;

 private:
  base::Log log;
};

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_LISTENING_SOCKET_H_
