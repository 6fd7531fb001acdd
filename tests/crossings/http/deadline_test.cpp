// The time that a client has left × what takes some of it: a request that comes slowly or is looked at late,
// and a connection to its node that comes up late.
#include <gtest/gtest.h>

#include "acceptance/door.h"
#include "base/log.h"
#include "edges/sockets.h"
#include "http/node_client.h"

namespace lemonroute::test {
namespace {

constexpr auto budget = 500ms, passes = 80ms;
constexpr auto by_kernel = 10ms;  // by which its own count may be behind
const std::string in_time = "Req-Deadline: 0.5\r\n", too_short = "Req-Deadline: 0.05\r\n";

// Lets time pass with the loop at rest: nothing that has come is handled.
void pass() {
  usleep(static_cast<useconds_t>(std::chrono::microseconds(passes).count()));
}

// ---- on its way here ----

enum class Comes { in_pieces, in_its_body, in_the_queue, unseen, behind_another, behind_in_pieces };

struct Arrival : testing::TestWithParam<Comes> {
  Arrival() { logging::set_level(logging::Level::error); }
  // Its first byte is sent, time passes, and it is whole at the end.
  void comes(const std::string& fields) {
    const std::string whole = Door::request("late", fields);
    const bool queued = GetParam() == Comes::in_the_queue;
    client = std::make_unique<Plug>(door.front.port());
    if (!queued)
      door.settle();
    const bool behind = GetParam() == Comes::behind_another || GetParam() == Comes::behind_in_pieces;
    if (behind) {
      client->send(Door::request("first"));
      door.settle();
    }
    const bool pieces = GetParam() != Comes::in_the_queue && GetParam() != Comes::unseen &&
                        GetParam() != Comes::behind_another;
    const std::size_t first = GetParam() == Comes::in_its_body ? whole.size() - 1 : 10;
    client->send(pieces ? whole.substr(0, first) : whole);
    if (pieces || behind)
      door.settle();
    pass();
    if (pieces)
      client->send(whole.substr(first));
    if (behind)
      door.last().done({Outcome::error, 0, {}, {}, true});
    before = door.sent();
    door.settle();
  }
  Door door;
  std::unique_ptr<Plug> client;
  std::size_t before = 0;  // attempts of the request in front
};
INSTANTIATE_TEST_SUITE_P(Time, Arrival,
                         testing::Values(Comes::in_pieces, Comes::in_its_body, Comes::in_the_queue,
                                         Comes::unseen, Comes::behind_another, Comes::behind_in_pieces));

TEST_P(Arrival, IsTakenFromWhatTheNodeIsTold) {
  comes(in_time);
  ASSERT_EQ(door.sent(), before + 1);
  EXPECT_LE(door.nodes.begun.back().within, budget - passes + by_kernel);
}

TEST_P(Arrival, IsTakenFromTheTimeOfItsClass) {
  comes("");
  ASSERT_EQ(door.sent(), before + 1);
  EXPECT_LE(door.nodes.begun.back().within, settings().classes[0].deadline - passes + by_kernel);
}

// No node hears of it, and its client hears so at once; the connection goes on.
TEST_P(Arrival, AfterItsTimeIsAnsweredAtOnce) {
  comes(too_short);
  EXPECT_EQ(door.sent(), before);
  EXPECT_NE(client->read().find("HTTP/1.1 504 "), std::string::npos);
  client->send(Door::request("next"));
  door.settle();
  EXPECT_EQ(door.sent(), before + 1);
}

// What came slowly is no part of the next request's time.
TEST_P(Arrival, IsNotTakenFromTheNextRequest) {
  comes(in_time);
  door.last().done({Outcome::error, 0, {}, {}, true});
  pass();
  client->send(Door::request("next", in_time));
  door.settle();
  ASSERT_EQ(door.sent(), before + 2);
  EXPECT_GT(door.nodes.begun.back().within, budget - passes);
}

// ---- on its way to the node ----

struct Unheard : Attempt {
  void written() override {}
  void event(std::string_view) override {}
  void done(Result) override {}
};

// The connection is there, and is seen to be up when time has passed.
struct ConnectingCall : testing::Test {
  std::unique_ptr<Call> begin(Micros within) {
    Node node;
    node.address = door.address;
    return client.begin(node, {"q", "/", std::make_shared<std::string>("{}")}, within, unheard);
  }
  std::string heard() {
    const int peer = accept(door.fd, nullptr, nullptr);
    for (int i = 0; i < 50; ++i)
      acceptance::round(loop);
    const std::string text = acceptance::hear(peer).text;
    close(peer);
    return text;
  }
  acceptance::Door door;
  net::Loop loop;
  Unheard unheard;
  http::NodeClient client{loop, http::ClientLimits{}};
};

TEST_F(ConnectingCall, TellsTheNodeWhatIsLeftWhenItIsWritten) {
  const auto call = begin(budget);
  EXPECT_TRUE(call->unsent());
  pass();
  const std::string text = heard();
  EXPECT_FALSE(call->unsent());
  constexpr std::string_view name = "Req-Deadline: ";
  const auto at = text.find(name);
  ASSERT_NE(at, std::string::npos) << text;
  EXPECT_LE(std::stod(text.substr(at + name.size())), std::chrono::duration<double>(budget - passes).count());
}

TEST_F(ConnectingCall, IsNotWrittenAfterItsTime) {
  const auto call = begin(passes / 2);
  pass();
  EXPECT_EQ(heard(), "");
  EXPECT_TRUE(call->unsent());
}

}  // namespace
}  // namespace lemonroute::test
