#include "carawayvalve/wire/server.h"

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <thrift/Thrift.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

#include "Agent.h"
#include "carawayvalve/wire/channel.h"
#include "carawayvalve/wire/limits.h"
#include "raw_peer.h"

namespace carawayvalve::wire {

namespace {

using AgentChannel = Channel<gen::AgentClient>;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using base::Milliseconds;

// Far more than anything here needs; reached only by a failing test.
constexpr Milliseconds kLongTimeout{30000};

// Counts calls, and answers reads with as many bytes as were requested.
class Agent : public gen::AgentNull {
 public:
  void submit(gen::SubmitAnswer& answer,
              const gen::Submission& submission) override {
    this->submitted += 1;
    answer.accepted = true;
    answer.reason = std::to_string(submission.plain.body.size());
  }

  void read(std::vector<gen::Chunk>& answer,
            const std::string&,
            const std::vector<gen::ReadRequest>& requests,
            int64_t) override {
    this->reads += 1;
    answer.resize(1);
    answer[0].bytes.assign(static_cast<size_t>(requests.at(0).most_bytes), 'a');
  }

  std::atomic<int> submitted = 0;
  std::atomic<int> reads = 0;
};

std::string FreeAddress() {
  const RawPeer peer([](RawConnection&, int) {});
  return peer.address();
}

std::unique_ptr<Server> StartServer(const std::string& address,
                                    const std::shared_ptr<Agent>& agent) {
  return std::make_unique<Server>("tests", address,
                                  std::make_shared<gen::AgentProcessor>(agent));
}

gen::Submission MakeSubmission(size_t body_bytes) {
  gen::Submission submission;
  submission.plain.body.assign(body_bytes, 'b');
  submission.__isset.plain = true;
  return submission;
}

std::string Submit(gen::AgentClient& client, size_t body_bytes) {
  gen::SubmitAnswer answer;
  client.submit(answer, MakeSubmission(body_bytes));
  return answer.reason;
}

gen::ReadRequest MakeReadRequest(int64_t bytes) {
  gen::ReadRequest request;
  request.most_bytes = bytes;
  return request;
}

size_t Read(gen::AgentClient& client, int64_t bytes) {
  std::vector<gen::Chunk> chunks;
  client.read(chunks, "an entry process", {MakeReadRequest(bytes)}, 0);
  return chunks.at(0).bytes.size();
}

std::string EncodeReadCall(const std::vector<gen::ReadRequest>& requests) {
  const auto memory = std::make_shared<TMemoryBuffer>();
  gen::AgentClient client(std::make_shared<TBinaryProtocol>(memory));
  client.send_read("an entry process", requests, 0);
  return Frame(memory->getBufferAsString());
}

// Encodes a read call that requests `bytes` bytes.
std::string EncodeReadCall(int64_t bytes) {
  return EncodeReadCall({MakeReadRequest(bytes)});
}

// Encodes a read call whose text has none of the bytes that it states.
std::string EncodeReadCallOfStatedText(uint32_t bytes) {
  const auto memory = std::make_shared<TMemoryBuffer>();
  TBinaryProtocol protocol(memory);
  protocol.writeMessageBegin("read", apache::thrift::protocol::T_CALL, 0);
  protocol.writeFieldBegin("entry_boot", apache::thrift::protocol::T_STRING, 1);
  protocol.writeI32(static_cast<int32_t>(bytes));
  return Frame(memory->getBufferAsString());
}

// Encodes a read call whose list of requests has none of the elements that it
// states.
std::string EncodeReadCallOfStatedSize(TType element, uint32_t elements) {
  const auto memory = std::make_shared<TMemoryBuffer>();
  TBinaryProtocol protocol(memory);
  protocol.writeMessageBegin("read", apache::thrift::protocol::T_CALL, 0);
  protocol.writeFieldBegin("requests", apache::thrift::protocol::T_LIST, 2);
  protocol.writeListBegin(element, elements);
  return Frame(memory->getBufferAsString());
}

// Encodes the answer to a read call, whose list has none of the elements that
// it states.
std::string EncodeReadAnswerOfStatedSize(uint32_t elements) {
  const auto memory = std::make_shared<TMemoryBuffer>();
  TBinaryProtocol protocol(memory);
  protocol.writeMessageBegin("read", apache::thrift::protocol::T_REPLY, 0);
  protocol.writeFieldBegin("success", apache::thrift::protocol::T_LIST, 0);
  protocol.writeListBegin(apache::thrift::protocol::T_STRUCT, elements);
  return Frame(memory->getBufferAsString());
}

// Returns whether the server's destructor returns within `time`. Otherwise
// calls `unblock` to let it return.
bool EndsWithin(Milliseconds time,
                std::unique_ptr<Server>& server,
                const std::function<void()>& unblock) {
  const std::future<void> ended =
      std::async(std::launch::async, [&] { server.reset(); });
  const bool in_time = ended.wait_for(time) == std::future_status::ready;
  if (!in_time) {
    unblock();
  }
  ended.wait();
  return in_time;
}

// Returns the greatest resident memory of this process so far.
int64_t PeakBytes() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return int64_t{1024} * usage.ru_maxrss;
}

std::atomic<bool> accept_failed = false;

void OnThriftLogLine(const char* line) {
  if (std::string(line).find("accept") != std::string::npos) {
    accept_failed = true;
  }
}

// Limits this process to one more file descriptor than it has open.
class LimitToOneMoreDescriptor {
 public:
  LimitToOneMoreDescriptor() {
    ::getrlimit(RLIMIT_NOFILE, &this->original_limit);
    const int next = ::dup(STDERR_FILENO);
    ::close(next);
    rlimit limit = this->original_limit;
    limit.rlim_cur = static_cast<rlim_t>(next) + 1;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~LimitToOneMoreDescriptor() {
    ::setrlimit(RLIMIT_NOFILE, &this->original_limit);
  }

  LimitToOneMoreDescriptor(const LimitToOneMoreDescriptor&) = delete;
  LimitToOneMoreDescriptor& operator=(const LimitToOneMoreDescriptor&) = delete;

 private:
  rlimit original_limit{};
};

}  // namespace

TEST_CASE("Server: stopping") {
  const std::string address = FreeAddress();
  const auto agent = std::make_shared<Agent>();
  std::unique_ptr<Server> server = StartServer(address, agent);
  std::optional<AgentChannel> channel(std::in_place, address, kLongTimeout);
  channel->Invoke("submit",
                  [](gen::AgentClient& client) { return Submit(client, 1); });

  SUBCASE("completes although connections are open") {
    std::optional<RawConnection> idle(std::in_place, address);
    std::optional<RawConnection> partial(std::in_place, address);
    partial->Send(Frame("never whole").substr(0, 7));
    CHECK(EndsWithin(kLongTimeout, server, [&] {
      idle.reset();
      partial.reset();
      channel.reset();
    }));

    SUBCASE("and the next call can't connect") {
      AgentChannel another(address, kLongTimeout);
      CHECK_THROWS_AS(
          another.Invoke("submit",
                         [](gen::AgentClient& client) { Submit(client, 1); }),
          base::NotReachedError);
    }
    SUBCASE("and another server can use the address immediately") {
      server = StartServer(address, agent);
      channel->Invoke(
          "submit", [](gen::AgentClient& client) { return Submit(client, 1); });
      CHECK(agent->submitted == 2);
    }
  }
  SUBCASE("completes although a client doesn't read its answer") {
    std::optional<RawConnection> stalled(std::in_place, address);
    stalled->Send(EncodeReadCall(kMaxMessageBytes / 2));
    while (agent->reads == 0) {
      std::this_thread::yield();
    }
    CHECK(EndsWithin(kLongTimeout, server, [&] { stalled.reset(); }));
  }
}

TEST_CASE("Server: an address in use or invalid is an error") {
  const auto agent = std::make_shared<Agent>();
  const std::string address = FreeAddress();
  const std::unique_ptr<Server> first = StartServer(address, agent);
  CHECK_THROWS_WITH_AS(StartServer(address, agent),
                       doctest::Contains("listen for tests"), base::Error);
  CHECK_THROWS_AS(StartServer("nowhere", agent), base::Error);
}

TEST_CASE("Server: accepts again after running out of descriptors") {
  const std::string address = FreeAddress();
  const auto agent = std::make_shared<Agent>();
  const std::unique_ptr<Server> server = StartServer(address, agent);
  apache::thrift::GlobalOutput.setOutputFunction(&OnThriftLogLine);
  std::optional<RawConnection> last;
  {
    const LimitToOneMoreDescriptor limit;
    last.emplace(address);
    while (!accept_failed) {
      std::this_thread::yield();
    }
  }
  AgentChannel channel(address, kLongTimeout);
  CHECK(channel.Invoke("submit", [](gen::AgentClient& client) {
    return Submit(client, 1);
  }) == "1");
}

TEST_CASE("Server: messages are limited") {
  const std::string address = FreeAddress();
  const auto agent = std::make_shared<Agent>();
  const std::unique_ptr<Server> server = StartServer(address, agent);
  AgentChannel channel(address, kLongTimeout);
  // 4096 bytes for the rest of the message.
  constexpr size_t kMaxBodyBytes = kMaxMessageBytes - 4096;

  SUBCASE("given calls and answers just within the limit, both arrive") {
    CHECK(channel.Invoke("submit", [](gen::AgentClient& client) {
      return Submit(client, kMaxBodyBytes);
    }) == std::to_string(kMaxBodyBytes));
    CHECK(channel.Invoke("read", [](gen::AgentClient& client) {
      return Read(client, kMaxBodyBytes);
    }) == kMaxBodyBytes);
  }
  SUBCASE(
      "given a call above the limit, nothing is sent and the channel stays "
      "usable") {
    CHECK_THROWS_AS(channel.Invoke("submit",
                                   [](gen::AgentClient& client) {
                                     return Submit(client, kMaxMessageBytes);
                                   }),
                    base::NotReachedError);
    CHECK(agent->submitted == 0);
    CHECK(channel.Invoke("submit", [](gen::AgentClient& client) {
      return Submit(client, 1);
    }) == "1");
  }
  SUBCASE("given an answer above the limit, the call fails") {
    CHECK_THROWS_AS(channel.Invoke("read",
                                   [](gen::AgentClient& client) {
                                     return Read(client, kMaxMessageBytes);
                                   }),
                    base::UnknownOutcomeError);
  }
  SUBCASE("given a raw message above the limit, the server closes") {
    RawConnection raw(address);
    const uint32_t size = htonl(static_cast<uint32_t>(kMaxMessageBytes + 1));
    raw.Send({reinterpret_cast<const char*>(&size), sizeof(size)});
    CHECK_FALSE(raw.ReadFrame());
  }
  SUBCASE("given many long messages, one connection carries them all") {
    for (int i = 0; i < 10; ++i) {
      channel.Invoke("submit", [](gen::AgentClient& client) {
        return Submit(client, kMaxBodyBytes);
      });
      channel.Invoke("read", [](gen::AgentClient& client) {
        return Read(client, kMaxBodyBytes);
      });
    }
    CHECK(agent->submitted == 10);
  }
}

TEST_CASE("Server: lists that state more elements than a message holds") {
  constexpr uint32_t kMaxStated = std::numeric_limits<int32_t>::max();
  const std::string address = FreeAddress();
  const auto agent = std::make_shared<Agent>();
  const std::unique_ptr<Server> server = StartServer(address, agent);
  const auto is_closed_after = [&](const std::string& call) {
    RawConnection raw(address);
    raw.Send(call);
    return !raw.ReadFrame();
  };
  // Memory for them all, more than the machine has, ended the process.
  SUBCASE("given structures, the server closes the connection and serves on") {
    CHECK(is_closed_after(EncodeReadCallOfStatedSize(
        apache::thrift::protocol::T_STRUCT, kMaxStated)));
  }
  SUBCASE("given more strings than 32 bits hold the bytes of, too") {
    CHECK(is_closed_after(EncodeReadCallOfStatedSize(
        apache::thrift::protocol::T_STRING, 1U << 30)));
  }
  SUBCASE("given more elements than a message may have, too") {
    CHECK(is_closed_after(EncodeReadCall(std::vector<gen::ReadRequest>(
        kMaxMessageElements + 1, MakeReadRequest(1)))));
  }
  AgentChannel channel(address, kLongTimeout);
  CHECK(channel.Invoke("submit", [](gen::AgentClient& client) {
    return Submit(client, 1);
  }) == "1");
  CHECK(agent->reads == 0);
}

TEST_CASE("Server: takes no memory for a text that a message doesn't hold") {
  const std::string address = FreeAddress();
  const auto agent = std::make_shared<Agent>();
  const std::unique_ptr<Server> server = StartServer(address, agent);
  constexpr uint32_t kStatedBytes = 512 * 1024 * 1024;
  const int64_t before = PeakBytes();
  RawConnection raw(address);
  raw.Send(EncodeReadCallOfStatedText(kStatedBytes));
  raw.SendEnd();
  CHECK_FALSE(raw.ReadFrame());
  CHECK(PeakBytes() - before < kStatedBytes / 2);
}

TEST_CASE("Channel: takes no memory for missing elements of an answer") {
  const RawPeer peer([](RawConnection& connection, int) {
    connection.ReadFrame();
    connection.Send(EncodeReadAnswerOfStatedSize(1024 * 1024));
    connection.WaitForEnd();
  });
  AgentChannel channel(peer.address(), kLongTimeout);
  std::vector<gen::Chunk> chunks;
  CHECK_THROWS_AS(channel.Invoke("read",
                                 [&chunks](gen::AgentClient& client) {
                                   client.read(chunks, "an entry process", {},
                                               0);
                                 }),
                  base::UnknownOutcomeError);
  CHECK(chunks.empty());
}

}  // namespace carawayvalve::wire
