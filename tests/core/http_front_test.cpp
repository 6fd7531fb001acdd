// Clients of the HTTP front whose connection ends, by their side or by ours, while something is under way.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <ostream>

#include "base/log.h"
#include "core/router.h"
#include "http/front.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

struct HttpFront : ::testing::Test {
  HttpFront() {
    logging::set_level(logging::Level::error);
    std::signal(SIGPIPE, SIG_IGN);
    nodes.many = true;
    core.update_endpoints(EndpointListKind::full, 1, {Bed::node("r"), Bed::node("w")});
  }
  ~HttpFront() override { close(client); }
  static int connect_to(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    return fd;
  }
  static std::string request(const std::string& id) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id +
           "\r\nReq-Kind: k\r\nContent-Length: 2\r\n\r\n{}";
  }
  void send_text(const std::string& text) const {
    EXPECT_EQ(send(client, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  void turn() { event_base_loop(loop.base(), EVLOOP_NONBLOCK); }
  bool until(const std::function<bool()>& condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + 10s;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= give_up_at)
        return false;
      turn();
    }
    return true;
  }
  bool client_has(std::string_view text) {
    char bytes[4096];
    for (ssize_t size; (size = recv(client, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
      received.append(bytes, static_cast<std::size_t>(size));
    return received.find(text) != std::string::npos;
  }
  AttemptHandler& attempt() { return *nodes.begun.back().attempt; }
  // The client has had the first event of its answer.
  void begin_stream() {
    client = connect_to(front.port());
    send_text(request("q1"));
    ASSERT_TRUE(until([&] { return !nodes.begun.empty(); }));
    attempt().on_done({Outcome::prefill_done, 0, {}, {}});
    attempt().on_data("first");
    ASSERT_TRUE(until([&] { return client_has("data: first"); }));
  }

  net::Loop loop;
  TestClock clock;
  TestNodes nodes;
  Router core{settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  http::Front front{loop, core, {{"127.0.0.1:0"}}};
  int client = -1;
  std::string received;
};

enum class Ending { handover, shutdown, end_of_window };
std::ostream& operator<<(std::ostream& out, Ending ending) {
  constexpr const char* names[] = {"handover", "shutdown", "end_of_window"};
  return out << names[static_cast<int>(ending)];
}

struct HttpFrontEnds : HttpFront, ::testing::WithParamInterface<Ending> {
  void end_front() {
    if (GetParam() == Ending::handover)
      return front.hand_over();
    if (GetParam() == Ending::shutdown)
      front.drain();
    front.stop_accepting();
  }
};

// Guards against closing a connection that seems to be at rest while the end of its answer is still unsent.
TEST_P(HttpFrontEnds, SendsTheEndOfAnAnswerBeforeItClosesTheConnection) {
  begin_stream();
  attempt().on_done({Outcome::ok, 0, {}, {}});
  end_front();
  EXPECT_TRUE(until([&] { return client_has("data: [DONE]\n\n\r\n0\r\n\r\n") || front.idle(); }));
  EXPECT_TRUE(client_has("data: [DONE]\n\n\r\n0\r\n\r\n")) << received;
  close(std::exchange(client, -1));
  EXPECT_TRUE(until([&] { return front.idle(); }));
}

INSTANTIATE_TEST_SUITE_P(Endings, HttpFrontEnds,
                         ::testing::Values(Ending::handover, Ending::shutdown, Ending::end_of_window));

}  // namespace
}  // namespace lemonroute::test
