// The executable: exit codes, what it says of damaged input, instances and settings that don't parse.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "wire/wire.h"

namespace lemonroute::wire {
namespace {

struct Ran {
  int status;
  std::string out, err;
};

Ran run(const std::string& input) {
  const std::string base = ::testing::TempDir() + "lemonroute_adapter_" + std::to_string(::getpid());
  const auto slurp = [](const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
  };
  std::ofstream(base + ".in", std::ios::binary) << input;
  const std::string command =
      std::string(LEMONROUTE_WIREHOST) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int raw = std::system(command.c_str());
  Ran result{WIFEXITED(raw) ? WEXITSTATUS(raw) : -1, slurp(base + ".out"), slurp(base + ".err")};
  for (const char* end : {".in", ".out", ".err"})
    std::remove((base + end).c_str());
  return result;
}

const std::string settings_text =
    "lanes.count=1\nlanes.0.idempotency=read_like\nlanes.0.slo-us=1500000\nextra.kind-role=read,write\n"
    "extra.release-us=300000\nlimits.max-attempts=4\nsafety.cold-us=13000000\nsafety.cold-from=0.27\n"
    "safety.fall-multiple=4.0\nsafety.fall-us=1000000\nsiblings=2\n";

Request request(RequestId id) {
  Request r;
  r.id = id;
  r.time_budget = Micros(6000000);
  r.prompt_tokens = 1000;
  return r;
}

TEST(Adapter, EndOfInputBetweenFramesIsCleanExit) {
  const Ran result = run(encode_batch({Micros(1), {}}));
  EXPECT_EQ(result.status, 0);
  EXPECT_TRUE(decode_reply(result.out).empty());
}

TEST(Adapter, CutFrameEndsItWithOneLineAndNoReply) {
  const std::string whole = encode_batch({Micros(1), {{1, TimerFired{1}}}});
  for (const std::string& input :
       {whole.substr(0, 3), whole.substr(0, 10), whole.substr(0, whole.size() - 1)}) {
    const Ran result = run(input);
    EXPECT_NE(result.status, 0);
    EXPECT_TRUE(result.out.empty());
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
  }
}

TEST(Adapter, InstancesDecideApartAndRestartInOneBatch) {
  const EndpointListUpdate list{
      EndpointListKind::from_cache,
      1,
      {{5, 0, 0, 0, EndpointState::ready, 1, {}}, {6, 0, 1, 0, EndpointState::ready, 1, {}}}};
  const Batch batch{Micros(1000),
                    {{1, Create{1, settings_text}},
                     {1, list},
                     {2, Create{2, settings_text}},
                     {1, Shutdown{}},
                     {1, Create{3, settings_text}},
                     {1, list},
                     {1, request(11)},
                     {2, request(12)}}};
  const Ran result = run(encode_batch(batch));
  ASSERT_EQ(result.status, 0) << result.err;
  bool sent = false, refused = false;
  for (const auto& record : decode_reply(result.out)) {
    if (const auto* send = std::get_if<Send>(&record.body)) {
      sent = true;
      EXPECT_EQ(record.dispatcher, 1u);
      EXPECT_EQ(send->endpoint, 5u);
    }
    if (std::holds_alternative<RejectRequest>(record.body)) {
      refused = true;
      EXPECT_EQ(record.dispatcher, 2u) << "it has no list";
    }
  }
  EXPECT_TRUE(sent);
  EXPECT_TRUE(refused);
}

TEST(Adapter, SettingThatDoesNotParseBreaksThatInstance) {
  const Ran result = run(encode_batch({Micros(1), {{7, Create{1, "siblings=x\n" + settings_text}}}}));
  EXPECT_EQ(result.status, 0);
  const auto reply = decode_reply(result.out);
  ASSERT_EQ(reply.size(), 1u);
  EXPECT_EQ(reply[0].dispatcher, 7u);
  EXPECT_NE(std::get<Broken>(reply[0].body).line.find("siblings"), std::string::npos);
}

TEST(Adapter, MegabytesInOneFrame) {
  Batch batch{Micros(1000), {{1, Create{1, settings_text}}}};
  for (RequestId id = 1; id <= 60000; ++id)
    batch.records.push_back({1, request(id)});
  const Ran result = run(encode_batch(batch));
  ASSERT_EQ(result.status, 0) << result.err;
  EXPECT_EQ(decode_reply(result.out).size(), 60000u) << "each is answered: no host is known";
}

}  // namespace
}  // namespace lemonroute::wire
