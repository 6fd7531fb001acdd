// What goes on between the router and one node: which outcome comes of what a node does, and what its
// connections carry.
#include <netinet/tcp.h>

#include <sstream>

#include "acceptance/door.h"
#include "http/node_client.h"

namespace lemonroute::acceptance {
namespace {

struct Noted : AttemptHandler {
  void on_request_written() override {}
  void on_data(std::string_view data) override { events += std::string(data) + ";"; }
  void on_done(AttemptResult with) override { result = std::move(with); }
  std::string events;
  std::optional<AttemptResult> result;
};

constexpr std::string_view stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

// A node that has read the request says `answer`, and goes if `goes`.
Noted outcome_of(std::string_view answer, bool goes = false) {
  Door door;
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = door.address;
  Noted attempt;
  const auto call = client.start_attempt(
      node, {"q", "/v1/chat/completions", std::make_shared<std::string>("{}")}, 5s, attempt);
  EXPECT_TRUE(until(loop, [&] { return readable(door.fd); }));
  const int peer = accept(door.fd, nullptr, nullptr);
  std::string asked;
  EXPECT_TRUE(until(loop, [&] { return (asked += hear(peer).text).ends_with("{}"); }));
  if (!answer.empty())
    say(peer, answer);
  if (goes)
    close(peer);
  EXPECT_TRUE(until(loop, [&] { return attempt.result.has_value(); })) << answer;
  if (!goes)
    close(peer);
  return attempt;
}

std::string plain(const char* status, const char* fields = "", const char* body = "") {
  return std::string("HTTP/1.1 ") + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(std::string_view(body).size()) + "\r\n\r\n" + body;
}

TEST(Outcome, EachAnswerHasItsMeaning) {
  struct Row {
    std::string answer;
    Outcome outcome;
    std::uint32_t kept = 0;
    bool unfit = false;
  };
  const char* declined = "Srv-Declined: 1\r\n";
  for (const Row& row : std::initializer_list<Row>{
           {plain("202 Accepted", "", "{\"cached_tokens\":4096}"), Outcome::prefill_done, 4096},
           {plain("202 Accepted", "", "no JSON"), Outcome::prefill_done},
           {plain("500 Oops"), Outcome::error},
           {plain("503 No", declined), Outcome::rejected_over_capacity},
           {plain("504 No", declined), Outcome::rejected_over_capacity},
           {plain("503 No"), Outcome::error},  // not said to be turned away: it may have run
           {plain("504 No"), Outcome::error},
           {plain("500 No", declined), Outcome::error},
           {plain("410 Gone", declined), Outcome::rejected_over_capacity, 1},  // there is no state
           {plain("410 Gone"), Outcome::error},
           {plain("400 Bad"), Outcome::error, 0, true},
           {plain("404 None"), Outcome::error, 0, true},
           {plain("200 OK", "Content-Type: text/plain\r\n", "hello"), Outcome::error}}) {
    const auto got = outcome_of(row.answer).result.value();
    EXPECT_EQ(got.outcome, row.outcome) << row.answer;
    EXPECT_EQ(got.cached_tokens, row.kept) << row.answer;
    EXPECT_EQ(got.bad_request, row.unfit) << row.answer;
  }
  EXPECT_EQ(outcome_of("", true).result->outcome, Outcome::reset) << "it had all of the request";
}

// The end of a stream: its load is the comment there, its last chunk has to come, and so has its end mark.
TEST(Outcome, AStreamIsServedOnlyWhole) {
  const std::string head(stream_head), event = chunk("data: a\n\n"), mark = chunk("data: [DONE]\n\n"),
                                       last = "0\r\n\r\n";
  const auto whole = outcome_of(head + event + mark + chunk(": Srv-Load: x0=0.5\n\n") + last);
  EXPECT_EQ(whole.result->outcome, Outcome::ok);
  EXPECT_EQ(whole.events, "a;");
  EXPECT_EQ(whole.result->load_report, "x0=0.5");
  EXPECT_EQ(outcome_of(head + event + mark, true).result->outcome, Outcome::reset) << "no last chunk";
  EXPECT_EQ(outcome_of(head + event + last).result->outcome, Outcome::reset) << "no end mark";
  EXPECT_EQ(outcome_of(head + mark + last).result->outcome, Outcome::error) << "no event";
  EXPECT_EQ(outcome_of(head + event + "zz\r\n").result->outcome, Outcome::reset) << "broken framing";
  EXPECT_EQ(outcome_of(head + "zz\r\n").result->outcome, Outcome::error) << "broken framing before any event";
}

// Half an event is none: it is passed on once its last line is there, and at once then.
TEST(Outcome, EventsComeAsTheyAreWhole) {
  Door door;
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = door.address;
  Noted attempt;
  const auto call = client.start_attempt(node, {"q", "/", std::make_shared<std::string>("{}")}, 5s, attempt);
  ASSERT_TRUE(until(loop, [&] { return readable(door.fd); }));
  const int peer = accept(door.fd, nullptr, nullptr);
  say(peer, std::string(stream_head) + "9\r\ndata: a");
  for (int i = 0; i < 20; ++i)
    round(loop);
  EXPECT_EQ(attempt.events, "");
  say(peer, "\n\n\r\n9\r\ndata: b\n\n");  // the chunk of the second one has no end yet
  EXPECT_TRUE(until(loop, [&] { return attempt.events == "a;b;"; }));
  EXPECT_FALSE(attempt.result);
  close(peer);
}

TEST(Connect, RefusedIsNeverSent) {
  std::string nobody;
  {
    Door door;
    nobody = door.address;
  }
  net::Loop loop;
  http::Client client(loop, {});
  Answer answer;
  const auto one = client.start(nobody, "GET / HTTP/1.1\r\n\r\n", {}, answer);
  ASSERT_TRUE(until(loop, [&] { return answer.over(); }));
  EXPECT_EQ(answer.how, http::Ending::not_sent);
}

// A door whose queue is full: the kernel drops whoever knocks, as a machine does that has vanished.
struct FullDoor : Door {
  FullDoor() : Door(0) {
    for (int& one : knocks) {
      one = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const net::SocketAddress to(address);
      const bool up = connect(one, to.address(), static_cast<socklen_t>(to.length())) == 0;
      EXPECT_TRUE(up || errno == EINPROGRESS);
    }
  }
  ~FullDoor() {
    for (const int one : knocks)
      close(one);
  }
  int knocks[3];
};

TEST(Connect, NeverUpIsGivenUpInTheSettingsTimeAndNeverSent) {
  FullDoor door;
  net::Loop loop;
  http::ClientLimits limits;
  limits.connect_timeout = 100ms;
  http::Client client(loop, limits);
  Answer answer;
  const auto one = client.start(door.address, "GET / HTTP/1.1\r\n\r\n", {}, answer);
  ASSERT_TRUE(until(loop, [&] { return answer.over(); }));
  EXPECT_EQ(answer.how, http::Ending::not_sent);
  EXPECT_FALSE(answer.all_written);
}

// The kernel knocks again after a second; within the settings' time the request goes out then, once.
TEST(Connect, ComesUpLateAndIsUsed) {
  FullDoor door;
  net::Loop loop;
  http::ClientLimits limits;
  limits.connect_timeout = 10s;
  http::Client client(loop, limits);
  Answer answer;
  const auto one = client.start(door.address, "GET /late HTTP/1.1\r\n\r\n", {}, answer);
  for (int i = 0; i < 20; ++i)
    round(loop);
  EXPECT_FALSE(answer.all_written);
  std::string got;
  std::vector<int> peers;
  ASSERT_TRUE(until(loop, [&] {
    if (readable(door.fd))
      peers.push_back(accept(door.fd, nullptr, nullptr));
    for (const int peer : peers)
      if (std::string text = hear(peer).text; !text.empty()) {
        got += text;
        say(peer, plain("200 OK"));
      }
    return answer.over();
  }));
  EXPECT_EQ(got, "GET /late HTTP/1.1\r\n\r\n");
  EXPECT_EQ(answer.how, http::Ending::whole);
  for (const int peer : peers)
    close(peer);
}

// ---- connections ----

struct Pair {
  explicit Pair(http::ClientLimits limits = {}) : client(loop, limits) {}
  int asks(Answer& answer, std::unique_ptr<http::Exchange>& exchange) {
    exchange = client.start(door.address, "GET / HTTP/1.1\r\n\r\n", {}, answer);
    until(loop, [&] { return answer.all_written; });
    return readable(door.fd) ? accept(door.fd, nullptr, nullptr) : -1;
  }
  Door door;
  net::Loop loop;
  http::Client client;
};

TEST(NodeConnections, CarryOneRequestAtATimeAndServeAgain) {
  Pair pair;
  Answer first, beside, after;
  std::unique_ptr<http::Exchange> one, two, three;
  const int a = pair.asks(first, one), b = pair.asks(beside, two);
  ASSERT_GE(a, 0);
  ASSERT_GE(b, 0) << "the first has no answer yet";
  hear(a);
  say(a, plain("200 OK"));
  ASSERT_TRUE(until(pair.loop, [&] { return first.over(); }));
  for (int i = 0; i < 60; ++i)
    round(pair.loop);  // whatever rest it may be given
  EXPECT_EQ(pair.asks(after, three), -1) << "the first is free, so no other is opened";
  EXPECT_TRUE(until(pair.loop, [&] { return hear(a).text == "GET / HTTP/1.1\r\n\r\n"; }));
  EXPECT_FALSE(beside.over());
  close(a);
  close(b);
}

// A node closes what has rested for its time, and what is written to it from then on is lost.
TEST(NodeConnections, IdleOnesAreGivenUpInTime) {
  http::ClientLimits limits;
  limits.idle = 30ms;
  Pair pair(limits);
  Answer first;
  std::unique_ptr<http::Exchange> one;
  const int a = pair.asks(first, one);
  say(a, plain("200 OK"));
  ASSERT_TRUE(until(pair.loop, [&] { return first.over(); }));
  EXPECT_TRUE(until(pair.loop, [&] { return hear(a).ended; }));
  close(a);
}

// Whoever gives an attempt up ends its sending before anything else goes out: the next attempt would be a
// second copy.
TEST(NodeConnections, AnAttemptIsGivenUpAtOnce) {
  Pair pair;
  Answer first;
  std::unique_ptr<http::Exchange> one;
  const int a = pair.asks(first, one);
  hear(a);
  one.reset();  // and the loop does not run
  EXPECT_TRUE(hear(a).ended);
  close(a);
}

// What is lost on a connection is told, and not sent again by itself.
TEST(NodeConnections, NothingIsSentTwiceByItself) {
  Pair pair;
  Answer first, next;
  std::unique_ptr<http::Exchange> one, two;
  const int a = pair.asks(first, one);
  hear(a);
  say(a, plain("200 OK"));
  ASSERT_TRUE(until(pair.loop, [&] { return first.over(); }));
  for (int i = 0; i < 60; ++i)
    round(pair.loop);
  ASSERT_EQ(pair.asks(next, two), -1);
  close(a);  // with the request unread, so that the connection is reset
  ASSERT_TRUE(until(pair.loop, [&] { return next.over(); }));
  EXPECT_EQ(next.how, http::Ending::broken);
  for (int i = 0; i < 20; ++i)
    round(pair.loop);
  EXPECT_FALSE(readable(pair.door.fd));
}

// Small writes are not held back by the kernel for those before them.
TEST(NodeConnections, HaveNoDelay) {
  struct Quiet : net::Connection::Handler {
    void on_readable() override {}
    void on_closed() override {}
  } quiet;
  Door door;
  net::Loop loop;
  const net::Connection out(loop, net::SocketAddress(door.address), quiet);
  const net::Connection in(loop, accept(door.fd, nullptr, nullptr), quiet);
  for (const auto* one : {&out, &in}) {
    int on = 0;
    socklen_t size = sizeof on;
    EXPECT_EQ(getsockopt(one->descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, &size), 0);
    EXPECT_NE(on, 0);
  }
}

}  // namespace
}  // namespace lemonroute::acceptance
