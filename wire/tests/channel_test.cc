#include "carawayvalve/wire/channel.h"

#include <doctest/doctest.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <future>
#include <thread>

#include "Agent.h"
#include "EntryPeer.h"
#include "raw_peer.h"

namespace carawayvalve::wire {

namespace {

using AgentChannel = Channel<gen::AgentClient>;
using base::Milliseconds;

// Far more than any call here needs; reached only by a failing test.
constexpr Milliseconds kLongTimeout{30000};
constexpr Milliseconds kShortTimeout{200};
// The 23 bytes of an answer take more than twice kShortTimeout.
constexpr Milliseconds kTrickleInterval{20};

void Cancel(gen::AgentClient& client) {
  client.cancel("an attempt");
}

// Encodes a copy of a configuration whose text has this size.
std::string CopyFields(size_t size) {
  const auto bytes =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(bytes);
  gen::EntryPeer_configuration_result result;
  result.success.text = std::string(size, 'x');
  result.__isset.success = true;
  result.write(&protocol);
  return bytes->getBufferAsString();
}

// Encodes what an agent answers to a submission.
std::string FieldsOf(bool accepted) {
  const auto bytes =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(bytes);
  gen::Agent_submit_result result;
  result.success.accepted = accepted;
  result.__isset.success = true;
  result.write(&protocol);
  return bytes->getBufferAsString();
}

// Answers every call until the client closes the connection.
void AnswerAll(RawConnection& connection) {
  while (connection.ReadFrame()) {
    connection.Send(connection.VoidAnswer("cancel"));
  }
}

}  // namespace

TEST_CASE("Channel: one deadline limits a whole call") {
  RawPeer peer([](RawConnection& connection, int number) {
    if (number > 1) {
      AnswerAll(connection);
      return;
    }
    connection.ReadFrame();
    connection.Trickle(connection.VoidAnswer("cancel"), kTrickleInterval);
  });

  SUBCASE("given an answer whose bytes come one at a time") {
    SUBCASE("the channel's timeout ends the call") {
      AgentChannel channel(peer.address(), kShortTimeout);
      CHECK_THROWS_AS(channel.Invoke("cancel", Cancel),
                      base::UnknownOutcomeError);

      SUBCASE("and the next call opens a new connection") {
        channel.Invoke("cancel", kLongTimeout, Cancel);
        CHECK(peer.connections() == 2);
      }
    }
    SUBCASE("a shorter timeout of the call ends it") {
      AgentChannel channel(peer.address(), kLongTimeout);
      CHECK_THROWS_AS(channel.Invoke("cancel", kShortTimeout, Cancel),
                      base::UnknownOutcomeError);
    }
    SUBCASE("a longer timeout of the call lets it return") {
      AgentChannel channel(peer.address(), kShortTimeout);
      channel.Invoke("cancel", kLongTimeout, Cancel);
      CHECK(peer.connections() == 1);
    }
  }
}

// Guards against copies of a large configuration that never arrive through a
// slow link, and are begun again each time.
TEST_CASE("Channel: a large answer takes longer than a period") {
  constexpr int kPieces = 10;
  constexpr Milliseconds kPause{100};
  constexpr size_t kPieceBytes = size_t{16} * 1024;
  int sent_pieces = kPieces;
  RawPeer peer([&](RawConnection& connection, int) {
    connection.ReadFrame();
    const std::string answer =
        EncodeAnswer("configuration", connection.Sequence("configuration"),
                     CopyFields(kPieces * kPieceBytes));
    // The frame is longer than the text, by a part of a piece.
    for (int i = 0; i <= sent_pieces; ++i) {
      connection.Send(answer.substr(i * kPieceBytes, kPieceBytes));
      std::this_thread::sleep_for(kPause);
    }
    connection.WaitForEnd();
  });
  Channel<gen::EntryPeerClient> channel(peer.address(), kShortTimeout);
  gen::ConfigurationCopy copy;
  const auto read = [&](gen::EntryPeerClient& client) {
    client.configuration(copy, 0, 0);
  };

  SUBCASE("a transfer goes on as long as it arrives") {
    channel.InvokeTransfer("read configuration", read);
    CHECK(copy.text.size() == kPieces * kPieceBytes);
  }
  SUBCASE("a transfer that stalls ends") {
    sent_pieces = 2;
    CHECK_THROWS_AS(channel.InvokeTransfer("read configuration", read),
                    base::UnknownOutcomeError);
  }
  SUBCASE("any other call ends by its timeout") {
    CHECK_THROWS_AS(channel.Invoke("read configuration", read),
                    base::UnknownOutcomeError);
  }
}

TEST_CASE("Channel: a call without time left is not sent") {
  std::atomic<int> calls = 0;
  RawPeer peer([&](RawConnection& connection, int) {
    while (connection.ReadFrame()) {
      calls += 1;
      connection.Send(connection.VoidAnswer("cancel"));
    }
  });
  AgentChannel channel(peer.address(), kLongTimeout);

  SUBCASE("given a timeout of 0 or less") {
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(0), Cancel),
                    base::NotReachedError);
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(-1), Cancel),
                    base::NotReachedError);

    SUBCASE("the peer gets only the call that has time left") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 1);
      CHECK(peer.connections() == 1);
    }
  }
  SUBCASE("given a timeout of 0, an open connection stays open") {
    channel.Invoke("cancel", Cancel);
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(0), Cancel),
                    base::NotReachedError);
    channel.Invoke("cancel", Cancel);
    CHECK(calls == 2);
    CHECK(peer.connections() == 1);
  }
}

TEST_CASE("Channel: an idle connection is checked before it is reused") {
  std::promise<void> idle;
  std::atomic<int> calls = 0;

  SUBCASE("given a peer that closed it after the first answer") {
    RawPeer peer([&](RawConnection& connection, int number) {
      while (connection.ReadFrame()) {
        calls += 1;
        connection.Send(connection.VoidAnswer("cancel"));
        if (number == 1) {
          connection.SendEnd();
          idle.set_value();
          connection.WaitForEnd();
        }
      }
    });
    AgentChannel channel(peer.address(), kLongTimeout);
    channel.Invoke("cancel", Cancel);
    idle.get_future().wait();

    SUBCASE("the next call is sent once, over a new connection") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 2);
      CHECK(peer.connections() == 2);
    }
  }
  SUBCASE("given a peer that sent a surplus answer") {
    RawPeer peer([&](RawConnection& connection, int number) {
      while (connection.ReadFrame()) {
        calls += 1;
        connection.Send(connection.VoidAnswer("cancel"));
        if (number == 1) {
          connection.Send(connection.VoidAnswer("cancel"));
          connection.WaitUntilDelivered();
          idle.set_value();
        }
      }
    });
    AgentChannel channel(peer.address(), kLongTimeout);
    channel.Invoke("cancel", Cancel);
    idle.get_future().wait();

    SUBCASE("the next call doesn't read the surplus answer") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 2);
      CHECK(peer.connections() == 2);
    }
  }
}

// Guards against a submission that counts as refused, and may be sent to
// another agent, while it runs: the answer is that to an earlier one.
TEST_CASE("Channel: a peer writes its earlier answer once more") {
  RawPeer peer([](RawConnection& connection, int) {
    std::string earlier;
    for (bool accepted = false; connection.ReadFrame(); accepted = true) {
      const std::string answer = EncodeAnswer(
          "submit", connection.Sequence("submit"), FieldsOf(accepted));
      connection.Send(earlier + answer);
      earlier = answer;
    }
  });
  AgentChannel channel(peer.address(), kLongTimeout);
  const auto submit = [&] {
    gen::SubmitAnswer answer;
    channel.Invoke("submit", [&](gen::AgentClient& client) {
      client.submit(answer, gen::Submission());
    });
    return answer.accepted;
  };
  CHECK_FALSE(submit());
  CHECK_THROWS_AS(submit(), base::UnknownOutcomeError);

  SUBCASE("and the next call opens a new connection") {
    CHECK_FALSE(submit());
    CHECK(peer.connections() == 2);
  }
}

TEST_CASE("Channel: the constructor rejects invalid addresses") {
  CHECK_THROWS_AS(AgentChannel("nowhere", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("127.0.0.1", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("127.0.0.1:port", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("a.host:7400", kLongTimeout), base::Error);
}

TEST_CASE("Channel: a call that throws closes the connection") {
  RawPeer peer([](RawConnection& connection, int) { AnswerAll(connection); });
  AgentChannel channel(peer.address(), kLongTimeout);
  channel.Invoke("cancel", Cancel);
  const base::Error refused("read answer", "an agent", "it makes no sense");

  SUBCASE("given a base::Error, it passes unchanged") {
    CHECK_THROWS_WITH_AS(
        channel.Invoke("cancel", [&](gen::AgentClient&) { throw refused; }),
        refused.what(), base::Error);
  }
  SUBCASE("given a standard exception, the outcome is unknown") {
    CHECK_THROWS_AS(channel.Invoke("cancel",
                                   [](gen::AgentClient&) {
                                     throw std::runtime_error("broken");
                                   }),
                    base::UnknownOutcomeError);
  }
  SUBCASE("given any other exception, it passes unchanged") {
    CHECK_THROWS_AS(
        channel.Invoke("cancel", [](gen::AgentClient&) { throw 5; }), int);
  }

  channel.Invoke("cancel", Cancel);
  CHECK(peer.connections() == 2);
}

TEST_CASE("Channel: an unreachable and a silent peer cause different errors") {
  std::string address;
  {
    const RawPeer closed_peer([](RawConnection&, int) {});
    address = closed_peer.address();
  }
  AgentChannel channel(address, kLongTimeout);
  CHECK_THROWS_AS(channel.Invoke("cancel", Cancel), base::NotReachedError);

  RawPeer silent([](RawConnection& connection, int) {
    connection.ReadFrame();
    connection.WaitForEnd();
  });
  AgentChannel to_silent(silent.address(), kShortTimeout);
  CHECK_THROWS_AS(to_silent.Invoke("cancel", Cancel),
                  base::UnknownOutcomeError);
}

}  // namespace carawayvalve::wire
