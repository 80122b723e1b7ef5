#include "carawayvalve/wire/channel.h"

#include <doctest/doctest.h>

#include <future>

#include "Agent.h"
#include "raw_peer.h"

namespace carawayvalve::wire {

namespace {

using AgentChannel = Channel<gen::AgentClient>;
using base::Milliseconds;

// Far more than any call here needs; only a fault makes a test wait for it.
constexpr Milliseconds kLongTimeout{30000};
constexpr Milliseconds kShortTimeout{200};
// 23 bytes of an answer take more than twice the short timeout.
constexpr Milliseconds kTrickleInterval{20};

void Cancel(gen::AgentClient& client) {
  client.cancel("an attempt");
}

// Answers every call until the other end closes.
void AnswerAll(RawConnection& connection) {
  while (connection.ReadFrame()) {
    connection.Send(VoidAnswer("cancel"));
  }
}

}  // namespace

TEST_CASE("Channel: a call has one deadline") {
  RawPeer peer([](RawConnection& connection, int number) {
    if (number > 1) {
      AnswerAll(connection);
      return;
    }
    connection.ReadFrame();
    connection.Trickle(VoidAnswer("cancel"), kTrickleInterval);
  });

  SUBCASE("given an answer whose bytes come one at a time") {
    SUBCASE("the channel's timeout ends the call") {
      AgentChannel channel(peer.address(), kShortTimeout);
      CHECK_THROWS_AS(channel.Invoke("cancel", Cancel),
                      base::UnknownOutcomeError);

      SUBCASE("and the next call has a connection of its own") {
        channel.Invoke("cancel", kLongTimeout, Cancel);
        CHECK(peer.connections() == 2);
      }
    }
    SUBCASE("so does the call's own, which is shorter") {
      AgentChannel channel(peer.address(), kLongTimeout);
      CHECK_THROWS_AS(channel.Invoke("cancel", kShortTimeout, Cancel),
                      base::UnknownOutcomeError);
    }
    SUBCASE("a longer one of its own lets the call return") {
      AgentChannel channel(peer.address(), kShortTimeout);
      channel.Invoke("cancel", kLongTimeout, Cancel);
      CHECK(peer.connections() == 1);
    }
  }
}

TEST_CASE("Channel: a call without time is not sent") {
  std::atomic<int> calls = 0;
  RawPeer peer([&](RawConnection& connection, int) {
    while (connection.ReadFrame()) {
      calls += 1;
      connection.Send(VoidAnswer("cancel"));
    }
  });
  AgentChannel channel(peer.address(), kLongTimeout);

  SUBCASE("given no time left, or less than none") {
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(0), Cancel),
                    base::NotReachedError);
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(-1), Cancel),
                    base::NotReachedError);

    SUBCASE("the peer only ever gets the call that has time") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 1);
      CHECK(peer.connections() == 1);
    }
  }
  SUBCASE("given no time on an open connection, it stays open") {
    channel.Invoke("cancel", Cancel);
    CHECK_THROWS_AS(channel.Invoke("cancel", Milliseconds(0), Cancel),
                    base::NotReachedError);
    channel.Invoke("cancel", Cancel);
    CHECK(calls == 2);
    CHECK(peer.connections() == 1);
  }
}

TEST_CASE("Channel: an idle connection is looked at before it is used") {
  std::promise<void> idle;
  std::atomic<int> calls = 0;

  SUBCASE("given a peer that closed it after the first answer") {
    RawPeer peer([&](RawConnection& connection, int number) {
      while (connection.ReadFrame()) {
        calls += 1;
        connection.Send(VoidAnswer("cancel"));
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

    SUBCASE("the next call goes over a new one, once") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 2);
      CHECK(peer.connections() == 2);
    }
  }
  SUBCASE("given a peer that sent an answer too many") {
    RawPeer peer([&](RawConnection& connection, int number) {
      while (connection.ReadFrame()) {
        calls += 1;
        connection.Send(VoidAnswer("cancel"));
        if (number == 1) {
          connection.Send(VoidAnswer("cancel"));
          connection.WaitUntilDelivered();
          idle.set_value();
        }
      }
    });
    AgentChannel channel(peer.address(), kLongTimeout);
    channel.Invoke("cancel", Cancel);
    idle.get_future().wait();

    SUBCASE("the next call doesn't take it for its own") {
      channel.Invoke("cancel", Cancel);
      CHECK(calls == 2);
      CHECK(peer.connections() == 2);
    }
  }
}

TEST_CASE("Channel: addresses are checked when it is made") {
  CHECK_THROWS_AS(AgentChannel("nowhere", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("127.0.0.1", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("127.0.0.1:port", kLongTimeout), base::Error);
  CHECK_THROWS_AS(AgentChannel("a.host:7400", kLongTimeout), base::Error);
}

TEST_CASE("Channel: a call that doesn't return leaves no connection") {
  RawPeer peer([](RawConnection& connection, int) { AnswerAll(connection); });
  AgentChannel channel(peer.address(), kLongTimeout);
  channel.Invoke("cancel", Cancel);
  const base::Error refused("read answer", "an agent", "it makes no sense");

  SUBCASE("given an error of our own, it passes unchanged") {
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

TEST_CASE("Channel: an unreachable peer is told from a silent one") {
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
