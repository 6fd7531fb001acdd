// What two processes of a router share at an upgrade: the socket on which streams are passed, and the locks
// on the ids of open requests.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ops/handover.h"
#include "ops/request_id_locks.h"

namespace lemonroute::crossings {
namespace {

using namespace std::chrono_literals;

// What waits in the socket is taken, what is sent afterwards is refused.
TEST(HandoverSocket, TakesWhatWaitsAndRefusesTheRest) {
  net::Loop loop;
  const std::string path = "crossings." + std::to_string(getpid()) + ".streams";
  std::vector<std::string> taken;
  ops::Handover end(
      loop, path,
      [&](const TransferredStream& stream) {
        taken.push_back(stream.id);
        EXPECT_GE(stream.idle_for, Micros(3s));  // and the time on its way
        close(stream.client.fd);
        close(stream.call.fd);
      },
      [](const HandoverState&) {});
  int both[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, both), 0);
  const auto pass = [&](const char* id) {
    return ops::Handover::send(path, {id, "estratto", "s-1", 0, 3s, {both[0], false}, {both[1], false}});
  };
  EXPECT_TRUE(pass("one"));
  EXPECT_TRUE(pass("two"));
  end.finish();
  EXPECT_EQ(taken, (std::vector<std::string>{"one", "two"}));
  EXPECT_FALSE(pass("three"));
  end.finish();
  EXPECT_EQ(taken.size(), 2u);
  close(both[0]);
  close(both[1]);
  unlink(path.c_str());
}

// Two processes' locks on the ids of open requests.
struct IdLocks : ::testing::Test {
  ~IdLocks() override { unlink(path.c_str()); }
  std::string path = "crossings." + std::to_string(getpid()) + ".ids";
  std::optional<ops::FileRequestIdLocks> old_one{path};
  ops::FileRequestIdLocks new_one{path};
};

TEST_F(IdLocks, ExcludeTheOtherProcess) {
  EXPECT_TRUE(old_one->lock("q"));
  EXPECT_FALSE(new_one.lock("q"));
  EXPECT_TRUE(new_one.lock("other"));
  old_one->unlock("q");
  EXPECT_TRUE(new_one.lock("q"));
}

TEST_F(IdLocks, EndWithTheirProcess) {
  EXPECT_TRUE(old_one->lock("q"));
  old_one.reset();
  EXPECT_TRUE(new_one.lock("q"));
}

// The sender has ended before the receiver has looked at the stream.
TEST_F(IdLocks, AreBridgedByTheDescriptorThatIsSentAlong) {
  EXPECT_TRUE(old_one->lock("q"));
  const int on_its_way = old_one->extend("q");
  ASSERT_GE(on_its_way, 0);
  old_one.reset();
  EXPECT_FALSE(new_one.lock("q"));
  new_one.lock_transferred("q");
  close(on_its_way);
  EXPECT_FALSE(ops::FileRequestIdLocks(path).lock("q"));
  new_one.unlock("q");
  EXPECT_TRUE(ops::FileRequestIdLocks(path).lock("q"));
}

TEST_F(IdLocks, LockNothingWhereTheFileCannotBeOpened) {
  ops::FileRequestIdLocks without_file("no-such-folder/ids");
  EXPECT_TRUE(without_file.lock("q"));
  EXPECT_EQ(without_file.extend("q"), -1);
  without_file.unlock("q");
}

}  // namespace
}  // namespace lemonroute::crossings
