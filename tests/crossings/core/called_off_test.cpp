// An attempt that is called off as overdue, and the one that is made in its place at another node.
#include "crossings/core/crossing_bed.h"

namespace lemonroute::test {
namespace {

struct CalledOff : Crossing {
  // A request whose prefill at the first node is overdue while another node is idle. The step is below the
  // time that a node has to hear of a call's end.
  void until_called_off() {
    Settings with = limits();
    with.cancellation_allowed = true;
    start(with);
    while (nodes.begun[0].open && clock.at < begin + with.classes[0].deadline)
      pass(step);
  }
  static constexpr Micros step = 1ms, end_is_heard = 5ms;
  const Micros begin = clock.at;
};

// Danger: the next attempt overtakes the end of the one before on its way to the nodes, and two are out.
TEST_F(CalledOff, IsClosedAtOnceAndTheNextAttemptComesLater) {
  until_called_off();
  ASSERT_FALSE(nodes.begun[0].open);
  EXPECT_EQ(nodes.begun.size(), 1u);
  pass(end_is_heard - step);
  EXPECT_EQ(nodes.begun.size(), 1u);
  pass(step);
  ASSERT_EQ(nodes.begun.size(), 2u);
  EXPECT_NE(nodes.begun[1].host, nodes.begun[0].host);
}

TEST_F(CalledOff, ClientThatLeavesMeanwhileGetsNoNextAttempt) {
  until_called_off();
  core->client_disconnected(id);
  expect_quiet(1, 0);
  EXPECT_EQ(nodes.released.size() > 0, true) << "the read may have ended well as it was cut";
}

TEST_F(CalledOff, EndOfWaitsMeanwhileIsAnswered) {
  until_called_off();
  core->set_shutdown_deadline(clock.at + 1ms);
  pass(1ms);
  EXPECT_EQ(client.answers, 1);
  EXPECT_EQ(nodes.begun.size(), 1u);
}

}  // namespace
}  // namespace lemonroute::test
