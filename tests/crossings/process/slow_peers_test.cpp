// Peers that write slowly, and clients that leave while their request waits to be read.
#include <unistd.h>

#include "crossings/process/bed.h"

namespace lemonroute::crossings {
namespace {

struct SlowPeers : Bed {
  SlowPeers() { start(); }
};

// Guards against running requests whose client closed its connection while they waited to be read: the end of
// the connection is behind all that is unread, and so many bytes are not read at once.
TEST_F(SlowPeers, NothingIsSentForAClientThatClosedWithMuchUnread) {
  Socket client = connect();
  client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(until([&] { return client.has(" 200 OK"); }));
  std::string requests;
  for (int i = 0; i < 500; ++i)
    requests += request("left" + std::to_string(i));
  client.send(requests);  // the program does not run meanwhile
  client.close();
  run(100ms);
  EXPECT_FALSE(node.accept().open());
}

// Guards against a further attempt for a client whose end has come but is handled later in the same round.
TEST_F(SlowPeers, NoFurtherAttemptIsMadeForAClientThatHasClosed) {
  Socket client = ask("leaves");
  Socket prefill = next_at_node();
  prefill.send("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}");
  client.close();
  run(100ms);
  Socket again = node.accept();
  EXPECT_FALSE(again.has("POST")) << again.text();
}

}  // namespace
}  // namespace lemonroute::crossings
