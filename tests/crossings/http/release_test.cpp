// A call that has a node let go of a state × what becomes of it: when it counts as arrived.
#include "acceptance/door.h"
#include "http/node_client.h"

namespace lemonroute::acceptance {
namespace {

// What the router is told of a release that a node answers with `answer`, and ends if `ends`.
std::optional<bool> told(std::string_view answer, bool ends = false) {
  Door door;
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = door.address;
  std::optional<bool> arrived;
  const auto call = client.release_reservation(node, "q1", [&](bool with) { arrived = with; });
  EXPECT_TRUE(until(loop, [&] { return readable(door.fd); }));
  const int peer = accept(door.fd, nullptr, nullptr);
  std::string asked;
  EXPECT_TRUE(until(loop, [&] { return (asked += hear(peer).text).ends_with("\r\n\r\n"); }));
  EXPECT_TRUE(asked.starts_with("DELETE /state/q1 HTTP/1.1\r\n")) << asked;
  if (!answer.empty())
    say(peer, answer);
  if (ends)
    close(peer);
  EXPECT_TRUE(until(loop, [&] { return arrived.has_value(); })) << answer;
  if (!ends)
    close(peer);
  return arrived;
}

TEST(Release, AnAnswerBelow500CountsAsArrived) {
  EXPECT_EQ(told("HTTP/1.1 204 No Content\r\n\r\n"), true);
  EXPECT_EQ(told("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), true);
  EXPECT_EQ(told("HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone"), true) << "nothing is held";
  EXPECT_EQ(told("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"), true);
  EXPECT_EQ(told("HTTP/1.1 204 No Content\r\n\r\n", true), true) << "the end is behind the answer";
}

// Nobody knows whether it was carried out, and a second call does no harm.
TEST(Release, AnErrorOrACutIsTriedAgain) {
  EXPECT_EQ(told("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), false);
  EXPECT_EQ(told("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), false);
  EXPECT_EQ(told("HTTP/1.1 502 No\r\nContent-Length: 9\r\n\r\nhalf", true), false);
  EXPECT_EQ(told("HTTP/1.1 204 No Cont", true), false);
  EXPECT_EQ(told("no HTTP at all"), false);
  EXPECT_EQ(told("", true), false);
}

}  // namespace
}  // namespace lemonroute::acceptance
