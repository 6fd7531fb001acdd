// Program::drain: requests accepted before the drain, and requests that arrive later, are answered before the
// process is killed.
#include "program_fixture.h"

namespace lemonroute::test {
namespace {

using namespace std::chrono_literals;

struct ProgramDrain : ProgramFixture {
  ProgramDrain() {
    start([](auto& file) {
      file["settings"]["lanes"][0]["hard-limit-us"] = 300000;  // the process is killed 0.7 s after that
    });
  }
};

TEST_F(ProgramDrain, AnswersWaitingRequestsBeforeTheKill) {
  const int early = send_request("early");
  const int node = accept_at_node(SteadyClock::now() + 5s);
  ASSERT_GE(node, 0);  // a node has the request and never answers
  program->drain();
  const int late = send_request("late");
  const auto answer_until = SteadyClock::now() + 5s;  // less than the 20 s that the clients allow
  EXPECT_EQ(read_status(early, answer_until).substr(0, 9), "HTTP/1.1 ");
  EXPECT_EQ(read_status(late, answer_until).substr(0, 9), "HTTP/1.1 ");
  for (const int fd : {early, late, node})
    close(fd);
}

}  // namespace
}  // namespace lemonroute::test
