// Guards against requests that an entry process admits but that exceed the
// maximum message size to an agent.
#include <doctest/doctest.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

#include "Agent.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/wire/limits.h"

namespace carawayvalve::agent {

namespace {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TMemoryBuffer;

// The maximum of the setting `max_header_bytes` of an entry process, which
// bounds the target and the headers together.
constexpr size_t kMaxHeadBytes = 1024 * 1024;
// The maximum number of tokens that a caller may request, at 6 bytes of text
// each.
constexpr size_t kMaxTextBytes = size_t{1000000} * 6;
constexpr size_t kMaxNameBytes = 256;

std::string FillerText(size_t bytes) {
  return std::string(bytes, 'x');
}

wire::gen::Submission MakeSubmissionWithLongNames() {
  wire::gen::Submission submission;
  const std::string name = FillerText(kMaxNameBytes);
  submission.attempt = name;
  submission.request = name;
  submission.agent_boot = name;
  submission.client_account = name;
  submission.service_name = name;
  submission.content_digest = name;
  submission.entry_boot = name;
  return submission;
}

size_t MessageBytes(const wire::gen::Submission& submission) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  wire::gen::AgentClient(std::make_shared<TBinaryProtocol>(buffer))
      .send_submit(submission);
  return buffer->available_read();
}

}  // namespace

TEST_CASE("a request with the longest allowed body fits in a message") {
  wire::gen::Submission submission = MakeSubmissionWithLongNames();

  SUBCASE("to a plain service with the longest target and headers") {
    wire::gen::PlainCall call;
    call.method = "POST";
    call.target = FillerText(kMaxHeadBytes / 2);
    wire::gen::Header header;
    header.name = "X-Long";
    header.value = FillerText(kMaxHeadBytes / 2);
    call.headers = {header};
    call.body = FillerText(config::kMaxBodyBytes);
    submission.__set_plain(call);
    CHECK(MessageBytes(submission) <= wire::kMaxMessageBytes);
  }
  SUBCASE("to an engine that resumes the longest generated text") {
    wire::gen::ModelCall call;
    call.model = FillerText(kMaxNameBytes);
    call.prompt = FillerText(config::kMaxBodyBytes);
    call.text_so_far = FillerText(kMaxTextBytes);
    submission.__set_model(call);
    CHECK(MessageBytes(submission) <= wire::kMaxMessageBytes);
  }
}

}  // namespace carawayvalve::agent
