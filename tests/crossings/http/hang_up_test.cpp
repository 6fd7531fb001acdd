// A client that has hung up, unseen, since its end lies behind bytes that are not read yet or the loop was
// busy × an attempt that is about to be written. On sockets, from the client to the node.
#include <gtest/gtest.h>

#include "acceptance/door.h"
#include "base/log.h"
#include "edges/sockets.h"
#include "http/node_client.h"

namespace lemonroute::test {
namespace {

enum class As { connects, prefill_done, backed_off };

struct HangUp : testing::TestWithParam<std::tuple<As, std::size_t>> {
  HangUp() {
    logging::set_level(logging::Level::error);
    http::Front::Options options;
    options.listen = {"127.0.0.1:0"};
    front = std::make_unique<http::Front>(loop, core, options);
    core.on_change = [this] {
      if (const auto at = core.next_due())
        due.start(*at - clock.now());
    };
    core.update(ListKind::full, 1,
                {{"r", node.address, "a", "r", 0, Phase::ready, 1, {}},
                 {"w", node.address, "a", "w", 0, Phase::ready, 1, {}}});
  }
  ~HangUp() override {
    core.on_change = nullptr;
    for (const int peer : peers)
      close(peer);
  }
  int accepts() {
    EXPECT_TRUE(acceptance::until(loop, [&] { return acceptance::readable(node.fd); }));
    peers.push_back(accept(node.fd, nullptr, nullptr));
    return peers.back();
  }
  // Sends what nobody has read, and goes; the loop has not run since.
  void goes(Plug& client) {
    client.send(std::string(std::get<1>(GetParam()), 'x'));
    client.close();
  }
  acceptance::Door node;
  net::Loop loop;
  SystemClock clock;
  http::NodeClient nodes{loop, http::ClientLimits{}};
  Router core{settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  net::Timer due{loop, [this] { core.run_due(); }};
  std::unique_ptr<http::Front> front;
  std::vector<int> peers;
};
INSTANTIATE_TEST_SUITE_P(Unseen, HangUp,
                         testing::Combine(testing::Values(As::connects, As::prefill_done, As::backed_off),
                                          testing::Values(0, 100'000)));

TEST_P(HangUp, NothingIsWrittenForIt) {
  Plug client(front->port());
  client.send(Door::request("gone"));
  const As as = std::get<0>(GetParam());
  if (as == As::connects) {
    // Its attempt begins, and its connection is up in the kernel and not seen to be.
    while (core.open() == 0)
      acceptance::round(loop);
    goes(client);
  } else {
    const int prefill = accepts();
    std::string heard;
    ASSERT_TRUE(acceptance::until(
        loop, [&] { return (heard += acceptance::hear(prefill).text).find("{}") != std::string::npos; }));
    acceptance::say(prefill, as == As::prefill_done
                                 ? "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
                                 : "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
    goes(client);
  }
  ASSERT_TRUE(acceptance::until(loop, [&] { return core.open() == 0; }));
  for (int i = 0; i < 100; ++i)
    acceptance::round(loop);
  std::string heard;
  while (acceptance::readable(node.fd))
    heard += acceptance::hear(accepts()).text;
  EXPECT_EQ(heard.find("POST"), std::string::npos) << heard;
}

}  // namespace
}  // namespace lemonroute::test
