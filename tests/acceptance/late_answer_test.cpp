// A second answer that comes when its connection has the next request already. Danger: that request's client
// is served what no node made for it, and its attempt goes on at the node while the router takes it for
// ended.
#include "acceptance/door.h"

namespace lemonroute::acceptance {
namespace {

TEST(LateAnswer, IsNotTakenForTheNextRequests) {
  Door door;
  net::Loop loop;
  http::Client client(loop, {});
  Answer first, next;
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const auto one = client.start(door.address, "GET /first HTTP/1.1\r\n\r\n", {}, first);
  ASSERT_TRUE(until(loop, [&] { return readable(door.fd); }));
  const int node = accept(door.fd, nullptr, nullptr);
  ASSERT_TRUE(until(loop, [&] { return !hear(node).text.empty(); }));
  say(node, answer);
  ASSERT_TRUE(until(loop, [&] { return first.over(); }));
  const auto two = client.start(door.address, "GET /next HTTP/1.1\r\n\r\n", {}, next);
  std::string asked;
  int other = -1;
  ASSERT_TRUE(until(loop, [&] {
    asked += hear(node).text;
    if (readable(door.fd))
      other = accept(door.fd, nullptr, nullptr);
    return other >= 0 || !asked.empty();
  }));
  say(node, answer);  // some milliseconds late
  for (int i = 0; i < 30; ++i)
    round(loop);
  EXPECT_NE(next.text, "first") << "what was made for another request";
  close(node);
  if (other >= 0)
    close(other);
}

}  // namespace
}  // namespace lemonroute::acceptance
