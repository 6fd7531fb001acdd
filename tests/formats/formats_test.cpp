// What processes of one router leave for each other: the file of bans, the locks and the messages of a
// hand-over.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "core/admin_overrides.h"
#include "formats/fixtures.h"
#include "formats/unix_datagrams.h"
#include "ops/handover.h"
#include "ops/processes.h"

namespace lemonroute::formats {
namespace {

// ---- the file of bans ----

constexpr Micros first_put_back{1764683700000001}, second_put_back{1764683712345678};

struct BansFile {
  TemporaryFolder folder;
  std::string path = folder.file("bans");
  LockFile lock{folder.file("lock")};
  AdminOverrides bans;
  void holds(const std::string& text) { std::ofstream(path, std::ios::binary) << text; }
};

TEST(Formats, ReadsBackWhichNodesAreBanned) {
  BansFile file;
  file.holds(text_fixture("bans.json"));

  file.bans.load_from(file.path, file.lock);

  EXPECT_TRUE(file.bans.is_drained("lettura-1"));
  EXPECT_TRUE(file.bans.is_drained("scrittura/\"città\"-2"));
  EXPECT_FALSE(file.bans.is_drained("lettura-3"));
  EXPECT_FALSE(file.bans.is_drained("scrittura-4"));
}

TEST(Formats, ReadsBackWhenNodesWerePutBack) {
  BansFile file;
  file.holds(text_fixture("bans.json"));

  file.bans.load_from(file.path, file.lock);

  EXPECT_EQ(file.bans.undrained_at("lettura-3"), first_put_back);
  EXPECT_EQ(file.bans.undrained_at("scrittura-4"), second_put_back);
  EXPECT_EQ(file.bans.undrained_at("lettura-1"), std::nullopt);
}

TEST(Formats, WritesTheFileOfBansAsBefore) {
  BansFile file;
  file.bans.load_from(file.path, file.lock);

  for (const char* name : {"lettura-1", "scrittura/\"città\"-2", "lettura-3", "scrittura-4"})
    ASSERT_TRUE(file.bans.set_override(name, true, first_put_back));
  ASSERT_TRUE(file.bans.set_override("lettura-3", false, first_put_back));
  ASSERT_TRUE(file.bans.set_override("scrittura-4", false, second_put_back));

  std::ifstream written(file.path, std::ios::binary);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(written), {}), text_fixture("bans.json"));
}

// ---- the locks and files by which processes of one router find each other ----

struct flock lock_on(int byte) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

// Whether another open file has a lock on this byte.
bool locked(int fd, int byte) {
  struct flock lock = lock_on(byte);
  return fcntl(fd, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

TEST(Formats, NamesTheFilesThatProcessesShareAsBefore) {
  TemporaryFolder folder;
  const ops::Processes processes(folder.path(), "router-A.nord", "127.0.0.1:8080");
  const std::string stem = folder.file("lemonroute-router-A_nord-127_0_0_1_8080");

  EXPECT_EQ(processes.file(".bans"), stem + ".bans");
  EXPECT_EQ(processes.file(".streams"), stem + ".streams");
  EXPECT_TRUE(std::filesystem::exists(stem + ".lock"));
}

TEST(Formats, LocksTheBytesThatTellOfAProcessAsBefore) {
  TemporaryFolder folder;
  ops::Processes processes(folder.path(), "router", "8080");
  const int fd = open(folder.file("lemonroute-router-8080.lock").c_str(), O_RDWR | O_CLOEXEC);
  ASSERT_GE(fd, 0);

  EXPECT_FALSE(locked(fd, 0));  // a process that writes bans
  EXPECT_TRUE(locked(fd, 1));   // a process that runs
  EXPECT_FALSE(locked(fd, 2));  // a process that takes clients
  processes.serves(true);
  EXPECT_TRUE(locked(fd, 2));
  close(fd);
}

TEST(Formats, SeesTheLocksOfAnotherProcessAsBefore) {
  TemporaryFolder folder;
  const ops::Processes processes(folder.path(), "router", "8080");
  const int fd = open(folder.file("lemonroute-router-8080.lock").c_str(), O_RDWR | O_CLOEXEC);
  ASSERT_GE(fd, 0);
  const auto share = [fd](int byte) {
    struct flock lock = lock_on(byte);
    lock.l_type = F_RDLCK;
    return fcntl(fd, F_OFD_SETLK, &lock) == 0;
  };

  ASSERT_TRUE(share(1));
  EXPECT_TRUE(processes.another_runs());
  EXPECT_FALSE(processes.another_serves());
  ASSERT_TRUE(share(2));
  EXPECT_TRUE(processes.another_serves());
  close(fd);
}

// ---- the messages of a hand-over ----

// The end that receives, with what it has been given.
struct Successor {
  TemporaryFolder folder;
  std::string path = folder.file("streams");
  net::Loop loop;
  std::vector<TransferredStream> streams;
  std::vector<HandoverState> states;
  ops::Handover handover{loop, path, [this](const TransferredStream& stream) { streams.push_back(stream); },
                         [this](const HandoverState& state) { states.push_back(state); }};
  ~Successor() {
    for (const auto& stream : streams) {
      close(stream.client.fd);
      close(stream.call.fd);
    }
  }
};

TEST(Formats, ReadsBackWhatAPassedStreamSays) {
  Successor successor;
  const TwoDescriptors connections;

  ASSERT_TRUE(send_datagram(
      successor.path, {line_fixture("handover_stream.json"), {connections.first(), connections.second()}}));
  successor.handover.finish();

  ASSERT_EQ(successor.streams.size(), 1u);
  const TransferredStream& stream = successor.streams[0];
  EXPECT_EQ(stream.id, "request-7f_31");
  EXPECT_EQ(stream.request_class, "estratto");
  EXPECT_EQ(stream.node, "scrittura-2");
  EXPECT_EQ(stream.attempt, 513);
  EXPECT_TRUE(stream.client.close_after_response);
  EXPECT_FALSE(stream.call.close_after_response);
}

TEST(Formats, ReadsBackAnAnswerAfterWhichOnlyTheCallCloses) {
  Successor successor;
  const TwoDescriptors connections;

  ASSERT_TRUE(send_datagram(successor.path, {line_fixture("handover_stream_call_closes.json"),
                                             {connections.first(), connections.second()}}));
  successor.handover.finish();

  ASSERT_EQ(successor.streams.size(), 1u);
  EXPECT_EQ(successor.streams[0].id, "request-7f_31");
  EXPECT_FALSE(successor.streams[0].client.close_after_response);
  EXPECT_TRUE(successor.streams[0].call.close_after_response);
}

TEST(Formats, ReadsBackTheConnectionsOfAPassedStreamInTheirOrder) {
  Successor successor;
  const TwoDescriptors connections;

  ASSERT_TRUE(send_datagram(
      successor.path, {line_fixture("handover_stream.json"), {connections.first(), connections.second()}}));
  successor.handover.finish();

  ASSERT_EQ(successor.streams.size(), 1u);
  EXPECT_TRUE(same_file(successor.streams[0].client.fd, connections.first()));
  EXPECT_TRUE(same_file(successor.streams[0].call.fd, connections.second()));
}

// What arrives where `stream` is passed on, its connections closed again after they were compared.
std::string passed_text(const TransferredStream& stream) {
  TemporaryFolder folder;
  DatagramSocket socket(folder.file("streams"));
  EXPECT_TRUE(ops::Handover::send(folder.file("streams"), stream));
  const Datagram datagram = socket.receive();
  EXPECT_EQ(datagram.descriptors.size(), 2u);
  if (datagram.descriptors.size() == 2) {
    EXPECT_TRUE(same_file(datagram.descriptors[0], stream.client.fd));
    EXPECT_TRUE(same_file(datagram.descriptors[1], stream.call.fd));
  }
  for (const int fd : datagram.descriptors)
    close(fd);
  return datagram.text;
}

TransferredStream stream_to_pass(const TwoDescriptors& connections) {
  TransferredStream stream;
  stream.id = "request-7f_31";
  stream.request_class = "estratto";
  stream.node = "scrittura-2";
  stream.attempt = 513;
  stream.client.fd = connections.first();
  stream.call.fd = connections.second();
  return stream;
}

TEST(Formats, WritesAPassedStreamAsBefore) {
  const TwoDescriptors connections;
  TransferredStream stream = stream_to_pass(connections);
  stream.client.close_after_response = true;

  EXPECT_EQ(passed_text(stream), line_fixture("handover_stream.json"));
}

TEST(Formats, WritesAnAnswerAfterWhichOnlyTheCallClosesAsBefore) {
  const TwoDescriptors connections;
  TransferredStream stream = stream_to_pass(connections);
  stream.call.close_after_response = true;

  EXPECT_EQ(passed_text(stream), line_fixture("handover_stream_call_closes.json"));
}

TEST(Formats, ReadsBackWhatIsToldOfNodes) {
  Successor successor;

  ASSERT_TRUE(send_datagram(successor.path, {line_fixture("handover_state.json"), {}}));
  successor.handover.finish();

  ASSERT_EQ(successor.states.size(), 1u);
  const auto& nodes = successor.states[0].nodes;
  ASSERT_EQ(nodes.size(), 2u);
  EXPECT_EQ(nodes[0].node, "lettura-1");
  EXPECT_EQ(nodes[0].load_report, "inflight=7,queue=2");
  EXPECT_EQ(nodes[0].age, Micros(1234567));
  EXPECT_TRUE(nodes[0].ejected);
  EXPECT_EQ(nodes[0].work_rate, 0.0625);
  EXPECT_EQ(nodes[1].node, "scrittura-2");
  EXPECT_EQ(nodes[1].load_report, "inflight=31,queue=0");
  EXPECT_EQ(nodes[1].age, Micros(89));
  EXPECT_FALSE(nodes[1].ejected);
  EXPECT_EQ(nodes[1].work_rate, 1.7);
}

TEST(Formats, ReadsBackTheReadRatesThatAreTold) {
  Successor successor;

  ASSERT_TRUE(send_datagram(successor.path, {line_fixture("handover_state.json"), {}}));
  successor.handover.finish();

  ASSERT_EQ(successor.states.size(), 1u);
  const std::vector<std::pair<Role, double>> read_rates{{Role::decode, 0.125}, {Role::mixed, 2.3}};
  EXPECT_EQ(successor.states[0].prefill_times_per_token, read_rates);
}

TEST(Formats, WritesWhatIsToldOfNodesAsBefore) {
  TemporaryFolder folder;
  DatagramSocket socket(folder.file("streams"));
  NodeHandoverState first, second;
  first.node = "lettura-1";
  first.load_report = "inflight=7,queue=2";
  first.age = Micros(1234567);
  first.ejected = true;
  first.work_rate = 0.0625;
  second.node = "scrittura-2";
  second.load_report = "inflight=31,queue=0";
  second.age = Micros(89);
  second.work_rate = 1.7;

  ops::Handover::tell(folder.file("streams"), {{first, second}, {{Role::decode, 0.125}, {Role::mixed, 2.3}}});

  EXPECT_EQ(socket.receive().text, line_fixture("handover_state.json"));
}

}  // namespace
}  // namespace lemonroute::formats
