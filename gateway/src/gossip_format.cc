#include "gossip_format.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <exception>

#include "carawayvalve/core/returned_stamp.h"

namespace carawayvalve::gateway {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

}  // namespace

std::string PrintGossip(const wire::gen::Gossip& gossip) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  gossip.write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<wire::gen::Gossip> ParseGossip(const std::string& datagram) {
  std::string copy = datagram;
  const auto buffer =
      std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(copy.data()),
                                      static_cast<uint32_t>(copy.size()));
  // Each byte of a string and each element of a container takes a byte or more.
  const auto limit = static_cast<int32_t>(copy.size());
  TCompactProtocol protocol(buffer, limit, limit);
  wire::gen::Gossip gossip;
  try {
    gossip.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return gossip;
}

void SetEcho(wire::gen::Gossip& gossip,
             const std::string& boot,
             int64_t stamp) {
  gossip.echo = stamp;
  gossip.__set_echo_boot(boot);
}

std::optional<base::Instant> EchoSentAt(const wire::gen::Gossip& gossip,
                                        const GatewayState& state,
                                        base::Instant now) {
  return core::SentAt(
      {{gossip.echo_boot}, base::Instant(base::Milliseconds(gossip.echo))},
      {state.boot, state.started}, now);
}

}  // namespace carawayvalve::gateway
