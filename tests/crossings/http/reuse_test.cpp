// A node's connection that rests × the next request on it: the node's end, a reset, and a second answer,
// before and after the request is written.
#include "acceptance/door.h"
#include "http/node_client.h"

namespace lemonroute::acceptance {
namespace {

const std::string request = "GET /next HTTP/1.1\r\n\r\n";
const std::string plain_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
constexpr std::size_t big_body = 8 * 1024 * 1024;  // more than both kernels' buffers take

// What comes of an exchange, in the order in which it is told.
struct Told : Answer {
  void written() override {
    order += "written ";
    Answer::written();
  }
  void head(const http::Head& head) override {
    order += "head ";
    Answer::head(head);
  }
  void ended(http::Ending with) override {
    order += "ended";
    Answer::ended(with);
  }
  std::string order;
};

http::ClientLimits resting(std::chrono::milliseconds rest) {
  http::ClientLimits limits;
  limits.rest = rest;
  return limits;
}

struct Bed {
  explicit Bed(std::chrono::milliseconds rest = 0ms) : client(loop, resting(rest)) {}
  ~Bed() {
    for (const int peer : peers)
      close(peer);
  }
  // A connection whose first request is answered; the node's side of it.
  int used() {
    Answer first;
    const auto exchange = client.start(door.address, "GET /first HTTP/1.1\r\n\r\n", {}, first);
    const int peer = accepts();
    EXPECT_TRUE(until(loop, [&] { return !hear(peer).text.empty(); }));
    say(peer, plain_answer);
    EXPECT_TRUE(until(loop, [&] { return first.over(); }));
    return peer;
  }
  int accepts() {
    EXPECT_TRUE(until(loop, [&] { return readable(door.fd); }));
    peers.push_back(accept(door.fd, nullptr, nullptr));
    return peers.back();
  }
  void ask(Answer& answer, std::size_t body = 0) {
    exchange = client.start(door.address, request,
                            body ? std::make_shared<const std::string>(body, 'x') : nullptr, answer);
  }
  void ends(int peer) {
    peers.remove(peer);
    close(peer);
  }
  void resets(int peer) {
    const linger at_once{1, 0};
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ends(peer);
  }
  Door door;
  net::Loop loop;
  http::Client client;
  std::unique_ptr<http::Exchange> exchange;
  std::list<int> peers;
};

// ---- the node's end ----

TEST(Reuse, AnEndBeforeTheWriteMakesItGoElsewhere) {
  for (const bool reset : {false, true}) {
    Bed bed;
    const int node = bed.used();
    reset ? bed.resets(node) : bed.ends(node);  // and the loop hasn't seen it
    Answer next;
    bed.ask(next);
    const int other = bed.accepts();
    EXPECT_TRUE(until(bed.loop, [&] { return hear(other).text == request; }));
    EXPECT_FALSE(next.over());
  }
}

// It had the last byte, whether it read it or not.
TEST(Reuse, AnEndAfterTheWriteMayHaveRun) {
  for (const bool reset : {false, true})
    for (const bool reads : {false, true}) {
      Bed bed;
      const int node = bed.used();
      Answer next;
      bed.ask(next);
      if (reads) {
        ASSERT_EQ(hear(node).text, request);
      }
      reset ? bed.resets(node) : bed.ends(node);
      ASSERT_TRUE(until(bed.loop, [&] { return next.over(); }));
      EXPECT_EQ(next.how, http::Ending::broken);
      EXPECT_FALSE(readable(bed.door.fd)) << "nothing is sent again by itself";
    }
}

// Its last byte is still here, so the node can't have run it.
TEST(Reuse, AnEndBeforeTheLastByteNeverRan) {
  for (const bool reset : {false, true}) {
    Bed bed;
    const int node = bed.used();
    Answer next;
    bed.ask(next, big_body);
    ASSERT_TRUE(until(bed.loop, [&] { return readable(node); }));
    reset ? bed.resets(node) : bed.ends(node);
    ASSERT_TRUE(until(bed.loop, [&] { return next.over(); }));
    EXPECT_EQ(next.how, http::Ending::not_sent);
    EXPECT_FALSE(next.all_written);
  }
}

TEST(Reuse, AResetBehindPartOfAnAnswerMayHaveRun) {
  for (const char* part : {"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir"}) {
    Bed bed;
    const int node = bed.used();
    Answer next;
    bed.ask(next);
    ASSERT_EQ(hear(node).text, request);
    say(node, part);
    for (const auto seen = std::chrono::steady_clock::now() + 20ms; std::chrono::steady_clock::now() < seen;)
      round(bed.loop);
    EXPECT_FALSE(next.over()) << part;
    bed.resets(node);
    ASSERT_TRUE(until(bed.loop, [&] { return next.over(); }));
    EXPECT_EQ(next.how, http::Ending::broken) << part;
  }
}

// The whole answer and the reset behind it are there before either is looked at.
TEST(Reuse, AnEndBehindAWholeAnswerTakesNothingOfIt) {
  Bed bed;
  const int node = bed.used();
  Answer next;
  bed.ask(next);
  ASSERT_EQ(hear(node).text, request);
  say(node, plain_answer);
  bed.ends(node);
  ASSERT_TRUE(until(bed.loop, [&] { return next.over(); }));
  EXPECT_EQ(next.how, http::Ending::whole);
  EXPECT_EQ(next.text, "first");
}

// ---- a second answer ----

// Whatever comes while it rests: the next request is written on another connection.
TEST(Reuse, ASecondAnswerFindsItsConnectionAtRest) {
  Bed bed(40ms);
  const int node = bed.used();
  Answer next;
  bed.ask(next);
  const int other = bed.accepts();
  say(node, plain_answer);
  EXPECT_TRUE(until(bed.loop, [&] { return hear(other).text == request; }));
  EXPECT_TRUE(until(bed.loop, [&] { return hear(node).ended; })) << "it is not used again";
  EXPECT_FALSE(next.over());
}

// Between the look at a connection and the request on it nothing may come: the request is with the kernel
// before the loop runs, so whatever comes from now on came after it.
TEST(Reuse, TheRequestIsWrittenAtTheLook) {
  Bed bed;
  const int node = bed.used();
  Answer next;
  bed.ask(next);
  EXPECT_EQ(hear(node).text, request);
}

// An answer may then be there before the loop tells that the request has left.
TEST(Reuse, WrittenIsToldBeforeTheAnswer) {
  Bed bed;
  const int node = bed.used();
  Told next;
  bed.ask(next);
  ASSERT_EQ(hear(node).text, request);
  say(node, plain_answer);
  ASSERT_TRUE(until(bed.loop, [&] { return next.over(); }));
  EXPECT_EQ(next.order, "written head ended");
}

TEST(Reuse, TheLongestAtRestCarriesTheNext) {
  Bed bed(0ms);
  Answer first, second, next;
  const auto one = bed.client.start(bed.door.address, request, {}, first);
  const int a = bed.accepts();
  const auto two = bed.client.start(bed.door.address, request, {}, second);
  const int b = bed.accepts();
  for (const int node : {b, a}) {
    EXPECT_TRUE(until(bed.loop, [&] { return hear(node).text == request; }));
    say(node, plain_answer);
    Answer& answer = node == a ? first : second;
    ASSERT_TRUE(until(bed.loop, [&] { return answer.over(); }));
  }
  bed.ask(next);
  EXPECT_EQ(hear(b).text, request);
  EXPECT_EQ(hear(a).text, "");
}

// Of more than may rest the one that has rested longest goes.
TEST(Reuse, TheLongestAtRestMakesRoom) {
  Bed bed;
  bed.client.limit(250ms, 8s, 1);
  Answer first, second;
  const auto one = bed.client.start(bed.door.address, request, {}, first);
  const int a = bed.accepts();
  const auto two = bed.client.start(bed.door.address, request, {}, second);
  const int b = bed.accepts();
  for (const int node : {a, b}) {
    EXPECT_TRUE(until(bed.loop, [&] { return hear(node).text == request; }));
    say(node, plain_answer);
    Answer& answer = node == a ? first : second;
    ASSERT_TRUE(until(bed.loop, [&] { return answer.over(); }));
  }
  ASSERT_TRUE(until(bed.loop, [&] { return hear(a).ended; }));
  Answer next;
  bed.ask(next);
  EXPECT_EQ(hear(b).text, request);
}

// Where fewer may rest than do, they go as the next one comes to rest, the longest at rest first.
TEST(Reuse, ALowerBoundIsKeptAtTheNextRest) {
  constexpr auto idle = 60s;  // longer than this test waits
  Bed bed;
  std::list<Answer> answers;
  std::vector<std::unique_ptr<http::Exchange>> exchanges;
  std::vector<int> nodes;
  for (int i = 0; i < 4; ++i) {
    exchanges.push_back(bed.client.start(bed.door.address, request, {}, answers.emplace_back()));
    nodes.push_back(bed.accepts());
  }
  bed.client.limit(250ms, idle, 3);
  auto answer = answers.begin();
  for (const int node : nodes) {
    if (node == nodes.back())
      bed.client.limit(250ms, idle, 1);
    EXPECT_TRUE(until(bed.loop, [&] { return hear(node).text == request; }));
    say(node, plain_answer);
    ASSERT_TRUE(until(bed.loop, [&] { return answer->over(); }));
    ++answer;
  }
  for (const int node : {nodes[0], nodes[1], nodes[2]})
    EXPECT_TRUE(until(bed.loop, [&] { return hear(node).ended; }));
  Answer next;
  bed.ask(next);
  EXPECT_EQ(hear(nodes[3]).text, request);
}

// ---- given up ----

// Half an answer lies unread as the exchange is let go of: the close resets the connection, and nothing of
// the next request goes along with it.
TEST(Reuse, GivenUpOverHalfALineItCarriesNothingMore) {
  Bed bed;
  const int node = bed.used();
  Answer next, after;
  bed.ask(next);
  ASSERT_EQ(hear(node).text, request);
  say(node, "HTTP/1.1 20");
  bed.exchange.reset();
  bed.ask(after);
  const int other = bed.accepts();
  EXPECT_TRUE(until(bed.loop, [&] { return hear(other).text == request; }));
  const Heard heard = hear(node);
  EXPECT_EQ(heard.text, "");
  EXPECT_TRUE(heard.ended);
  EXPECT_FALSE(next.over());
}

}  // namespace
}  // namespace lemonroute::acceptance
