// A client that goes, ends its sending or sends on × the steps of its request, in both orders.
#include <gtest/gtest.h>

#include "base/log.h"
#include "edges/sockets.h"

namespace lemonroute::test {
namespace {

enum class Goes { closes, resets, ends_sending };
constexpr Goes ways[] = {Goes::closes, Goes::resets, Goes::ends_sending};

void go(Plug& client, Goes how) {
  if (how == Goes::closes)
    client.close();
  else if (how == Goes::resets)
    client.reset();
  else
    client.end_sending();
}

struct ClientCrossing : testing::Test {
  ClientCrossing() { logging::set_level(logging::Level::error); }
  void reads(Plug& client, const std::string& id) {
    client.send(Door::request(id));
    door.settle();
    ASSERT_TRUE(door.out());
  }
  void all_gone(std::size_t sent) {
    door.settle();
    EXPECT_EQ(door.core.open_request_count(), 0u);
    EXPECT_FALSE(door.out());
    EXPECT_EQ(door.sent(), sent);
  }
  Door door;
};

// ---- it goes ----

TEST_F(ClientCrossing, GoesThenThePrefillIsDone) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    const std::size_t sent = door.sent(), released = door.nodes.released.size();
    go(client, how);
    door.settle();
    all_gone(sent);
    EXPECT_EQ(door.nodes.released.size(), released + 1) << "what the cut prefill may hold is let go";
  }
}

// The router is told of the prefill before it reads that the client went: no decode begins.
TEST_F(ClientCrossing, GoesUnseenAsThePrefillIsDone) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    const std::size_t sent = door.sent(), released = door.nodes.released.size();
    go(client, how);
    door.done(Outcome::prefill_done);
    EXPECT_EQ(door.sent(), sent) << "no attempt for a client that has gone";
    all_gone(sent);
    EXPECT_EQ(door.nodes.released.size(), released + 1) << "the state isn't fetched any more";
  }
}

// The last chunk is on its way to a client that is gone, and nothing else is done about it.
TEST_F(ClientCrossing, GoesUnseenAsTheLastByteLeaves) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    door.done(Outcome::prefill_done);
    door.last().on_data("one");
    door.settle();
    const std::size_t sent = door.sent();
    go(client, how);
    door.done(Outcome::ok);
    all_gone(sent);
    client.close();
    EXPECT_TRUE(door.until([&] { return door.front.idle(); }, 5s));
  }
}

TEST_F(ClientCrossing, GoesWithTheLastByteUnread) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    door.done(Outcome::prefill_done);
    door.last().on_data("one");
    const std::size_t sent = door.sent();
    door.done(Outcome::ok);
    door.settle();
    go(client, how);
    all_gone(sent);
    EXPECT_TRUE(door.front.idle());
  }
}

// ---- with a request behind ----

// An end of its sending counts as its going, for what is out as for what it asked behind that.
TEST_F(ClientCrossing, EndsItsSendingWithARequestBehind) {
  Plug client = door.client();
  reads(client, "q1");
  client.send(Door::request("q2"));
  client.end_sending();
  all_gone(1);
}

TEST_F(ClientCrossing, EndsItsSendingWithTwoAtOnce) {
  Plug client = door.client();
  client.send(Door::request("q1") + Door::request("q2"));
  client.end_sending();
  all_gone(0);
}

// The first answer is whole before the end is seen; the request behind it is not begun for nobody.
TEST_F(ClientCrossing, EndsItsSendingAsTheFirstAnswerEnds) {
  Plug client = door.client();
  reads(client, "q1");
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  client.send(Door::request("q2"));
  door.settle();
  client.end_sending();
  door.done(Outcome::ok);
  all_gone(2);
}

// Read ahead, byte for byte: the request behind is begun once the first answer is whole, and not before.
TEST_F(ClientCrossing, TheRequestBehindBeginsAfterTheLastByte) {
  Plug client = door.client();
  reads(client, "q1");
  const std::string behind = Door::request("q2");
  client.send(behind.substr(0, 10));
  door.settle();
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  client.send(behind.substr(10, 30));
  door.settle();
  EXPECT_EQ(door.sent(), 2u);
  door.done(Outcome::ok);
  door.settle();
  EXPECT_EQ(door.sent(), 2u);
  client.send(behind.substr(40));
  door.settle();
  EXPECT_EQ(door.sent(), 3u);
  EXPECT_NE(client.read().find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_FALSE(client.ended);
}

TEST_F(ClientCrossing, GoesWithARequestBehindThatWasNotBegun) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    client.send(Door::request("behind"));
    door.settle();
    const std::size_t sent = door.sent();
    go(client, how);
    all_gone(sent);
  }
}

// Its first answer is whole and the request behind it is here, not looked at yet, as a descriptor is wanted:
// it hears that this one is not taken.
TEST_F(ClientCrossing, IsDismissedBetweenAnAnswerAndTheRequestBehind) {
  Plug client = door.client();
  reads(client, "q1");
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  client.send(Door::request("q2"));
  door.settle();
  door.done(Outcome::ok);
  door.loop.reserve().run_short();
  door.settle();
  EXPECT_EQ(door.sent(), 2u);
  const std::string got = client.read();
  EXPECT_NE(got.find("\r\n0\r\n\r\nHTTP/1.1 503 "), std::string::npos) << got;
  EXPECT_NE(got.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(client.ended);
  EXPECT_EQ(client.error, 0);
}

// ---- a node's answer that breaks off ----

// Whichever comes first, the client's connection ends without the last chunk, and nothing stays.
TEST_F(ClientCrossing, GoesAsTheStreamIsCut) {
  for (const Goes how : ways)
    for (const bool client_first : {true, false}) {
      Plug client = door.client();
      reads(client, "q" + std::to_string(door.sent()));
      door.done(Outcome::prefill_done);
      door.last().on_data("one");
      door.settle();
      const std::size_t sent = door.sent();
      if (client_first)
        go(client, how);
      door.done(Outcome::reset);
      if (!client_first)
        go(client, how);
      all_gone(sent);
      if (how == Goes::ends_sending) {
        const std::string got = client.read();
        EXPECT_NE(got.find("data: one"), std::string::npos);
        EXPECT_EQ(got.find("\r\n0\r\n"), std::string::npos);
        EXPECT_TRUE(client.ended);
      }
      client.close();
      EXPECT_TRUE(door.until([&] { return door.front.idle(); }, 5s));
    }
}

// An answer that never ends: the client's close is seen while the stream stands still.
TEST_F(ClientCrossing, GoesWhileAnAnswerNeverEnds) {
  for (const Goes how : ways) {
    Plug client = door.client();
    reads(client, "q" + std::to_string(door.sent()));
    door.done(Outcome::prefill_done);
    door.last().on_data("one");
    door.settle();
    go(client, how);
    all_gone(door.sent());
  }
}

}  // namespace
}  // namespace lemonroute::test
