// The program begins to drain (SIGTERM) or stops taking clients × what they do in that moment.
#include <gtest/gtest.h>

#include "base/log.h"
#include "edges/sockets.h"

namespace lemonroute::test {
namespace {

constexpr auto asking = 300ms;  // for a request to come whole

std::size_t count(const std::string& text, std::string_view part) {
  std::size_t found = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
    ++found;
  return found;
}

struct Drain : testing::Test {
  Drain() { logging::set_level(logging::Level::error); }
  static http::Front::Options options() {
    http::Front::Options options;
    options.asking = asking;
    options.sending = 300ms;
    return options;
  }
  void begin(Plug& client, const std::string& id) {
    client.send(Door::request(id));
    door.settle();
    ASSERT_TRUE(door.out());
  }
  void serve() {
    door.done(Outcome::prefill_done);
    door.last().on_data("one");
    door.done(Outcome::ok);
    door.settle();
  }
  Door door{16, options()};
};

// ---- a request behind another one ----

// The head of the first answer went out before the drain and says nothing of an end, and the next request is
// here: it is answered, by an answer that says so.
TEST_F(Drain, ComesBetweenTheHeadOfAnAnswerAndItsEndWithARequestBehind) {
  Plug client = door.client();
  begin(client, "q1");
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  client.send(Door::request("q2"));
  door.settle();
  door.front.drain();
  door.front.stop_accepting();
  door.done(Outcome::ok);
  door.settle();
  ASSERT_EQ(door.sent(), 3u);
  const std::string first = client.read();
  EXPECT_EQ(first.find("Connection: close"), std::string::npos);
  EXPECT_FALSE(client.ended);
  serve();
  const std::string second = client.read();
  EXPECT_NE(second.find("Connection: close"), std::string::npos);
  EXPECT_NE(second.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(client.ended);
  EXPECT_EQ(client.error, 0);
}

// With nothing behind it the connection ends there and then; what is sent later stays unread and resets
// nothing.
TEST_F(Drain, ComesBetweenTheHeadOfAnAnswerAndItsEnd) {
  Plug client = door.client();
  begin(client, "q1");
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  door.settle();
  door.front.drain();
  door.done(Outcome::ok);
  client.send(Door::request("q2"));
  door.settle();
  EXPECT_EQ(door.sent(), 2u);
  EXPECT_NE(client.read().find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(client.ended);
  EXPECT_EQ(client.error, 0);
}

// The answer said that it is the last one: what is behind it is not sent on.
TEST_F(Drain, ComesBeforeTheAnswerWithARequestBehind) {
  Plug client = door.client();
  begin(client, "q1");
  client.send(Door::request("q2"));
  door.settle();
  door.front.drain();
  serve();
  EXPECT_EQ(door.sent(), 2u);
  EXPECT_NE(client.read().find("Connection: close"), std::string::npos);
  EXPECT_TRUE(client.ended);
  EXPECT_EQ(client.error, 0);
}

// ---- a request in pieces ----

TEST_F(Drain, ComesAmidstARequest) {
  const std::string whole = Door::request("q1");
  for (const bool rested : {false, true})
    for (const std::size_t cut : {std::size_t(1), std::size_t(20), whole.size() - 1}) {
      Door here(16, options());
      Plug client = here.client();
      if (rested) {
        client.send("GET /healthz HTTP/1.1\r\n\r\n");
        here.settle();
        client.read();
      }
      client.send(whole.substr(0, cut));
      here.settle();
      here.front.drain();
      here.front.stop_accepting();
      here.settle();
      client.send(whole.substr(cut));  // held back by the kernel until the first piece is acknowledged
      ASSERT_TRUE(here.until([&] { return here.sent() == 1; }, asking)) << rested << cut;
      here.last().on_done({Outcome::error, 0, {}, {}, true});
      here.settle();
      EXPECT_NE(client.read().find("Connection: close"), std::string::npos);
      EXPECT_TRUE(client.ended);
      EXPECT_EQ(client.error, 0);
    }
}

// Heads and bodies that never end hold the drain up no longer than any request may take to come.
TEST_F(Drain, DoesNotWaitForSlowWriters) {
  std::vector<Plug> clients;
  for (const std::string& begun : {std::string("P"), Door::request("q1").substr(0, 30),
                                   Door::request("q1").substr(0, Door::request("q1").size() - 1)}) {
    clients.push_back(door.client());
    clients.back().send(begun);
  }
  clients.push_back(door.client());
  clients.back().send("GET /healthz HTTP/1.1\r\n\r\nPOST /v1");  // the piece of a second one
  door.settle();
  door.front.drain();
  door.front.stop_accepting();
  const auto began = std::chrono::steady_clock::now();
  std::vector<std::string> got(clients.size());
  ASSERT_TRUE(door.until(
      [&] {
        bool all = true;
        for (std::size_t i = 0; i < clients.size(); ++i) {
          got[i] += clients[i].read();
          all = all && clients[i].ended;
        }
        return all;
      },
      5s));
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2 * asking + 500ms);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    EXPECT_NE(got[i].find(" 408 "), std::string::npos) << i << got[i];
    EXPECT_EQ(clients[i].error, 0);
  }
  clients.clear();
  EXPECT_TRUE(door.until([&] { return door.front.idle(); }, 5s));
  EXPECT_EQ(door.sent(), 0u);
}

// ---- at the door ----

// Taken, and nothing asked yet: an end, and no reset, also for what is sent then.
TEST_F(Drain, MeetsAClientThatHasJustConnected) {
  Plug client = door.client();
  door.front.drain();
  door.front.stop_accepting();
  client.send(Door::request("q1"));
  door.settle();
  EXPECT_EQ(client.read(), "");
  EXPECT_TRUE(client.ended);
  EXPECT_EQ(client.error, 0);
  EXPECT_EQ(door.sent(), 0u);
}

// In the listener's queue, before or after it has asked: it is taken and answered.
TEST_F(Drain, MeetsAClientInTheQueue) {
  Plug asked(door.front.port()), silent(door.front.port());
  asked.send(Door::request("q1"));
  door.front.drain();
  door.front.stop_accepting();
  silent.send(Door::request("q2"));
  door.settle();
  EXPECT_EQ(door.sent(), 2u);
}

// ---- floods ----

// One that sends without end ends with the drain, and holds up nobody.
TEST_F(Drain, MeetsFloods) {
  const std::string noise(64 * 1024, 'x');
  Plug asked = door.client(), asks_none = door.client(), behind = door.client();
  begin(asked, "q1");
  asks_none.send(noise);
  behind.send(Door::request("q2"));
  door.settle();
  behind.send(noise);
  door.settle();
  door.front.drain();
  door.front.stop_accepting();
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (door.core.open_request_count() > 1 && std::chrono::steady_clock::now() < end) {
    behind.send(noise);
    asks_none.send(noise);
    door.settle();
  }
  EXPECT_EQ(door.core.open_request_count(), 1u) << "the flood's request is ended";
  EXPECT_NE(behind.read().find("HTTP/1.1 400 "), std::string::npos);
  EXPECT_NE(asks_none.read().find("HTTP/1.1 4"), std::string::npos);
  door.nodes.begun.front().attempt->on_done({Outcome::error, 0, {}, {}, true});
  door.settle();
  EXPECT_NE(asked.read().find("Connection: close"), std::string::npos);
  asked.close();
  EXPECT_TRUE(door.until([&] { return door.front.idle(); }, 5s)) << "though the floods stay connected";
}

// ---- the last answer ----

// The end of an answer is still with the kernel when the connection has been left for its time. With nothing
// unread the kernel sends it after the close. A close over unread bytes resets the connection, and would take
// it along, so that it waits.
struct SlowReader : testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(ARequestIsLeftUnread, SlowReader, testing::Bool());

TEST_P(SlowReader, HasItsAnswerAfterTheTimeForItsEnd) {
  constexpr auto longer_than_an_ending = 1500ms;
  constexpr std::size_t events = 8;
  logging::set_level(logging::Level::error);
  Door door;
  Plug client = door.client(4096);
  client.send(Door::request("q1"));
  door.settle();
  ASSERT_TRUE(door.out());
  door.front.drain();
  door.done(Outcome::prefill_done);
  for (std::size_t i = 0; i < events; ++i)
    door.last().on_data(std::string(16 * 1024, 'y'));
  door.done(Outcome::ok);
  door.settle();
  if (GetParam())
    client.send(Door::request("q2"));  // our end was told, and this stays unread
  door.until([] { return false; }, longer_than_an_ending);
  EXPECT_EQ(door.front.idle(), !GetParam());
  std::string got;
  EXPECT_TRUE(door.until(
      [&] {
        got += client.read();
        return client.ended || client.error != 0;
      },
      5s));
  EXPECT_EQ(client.error, 0);
  EXPECT_EQ(count(got, "data: y"), events);
  EXPECT_NE(got.find("\r\n0\r\n\r\n"), std::string::npos);
  client.close();
  EXPECT_TRUE(door.until([&] { return door.front.idle(); }, 5s));
}

}  // namespace
}  // namespace lemonroute::test
