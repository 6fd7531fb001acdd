// The one clock for silence, played on paper: wherever in a call a watch falls silent, and however many of
// the calls after it do, the list is had again in time. And lists as they may come.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "discovery/cadence.h"
#include "discovery/list.h"

namespace lemonroute::discovery {
namespace {

using namespace std::chrono_literals;

// Told from the start of the silence on: 6 s, or 2 s after the wait of the call that was out is over, if that
// is later.
Micros told_by(const Cadence::Call& call, Micros silent) {
  return std::max<Micros>(silent + 6s, call.wait + 2s);
}

// A call that is out when all goes silent `silent` after its start, and `begun` of them after its answer
// began to come; the `more` calls that follow are silent too. When is the whole list asked for by a call that
// is answered?
Micros had_again(bool waits, Micros silent, bool begun, int more, Cadence::Call& first) {
  Cadence cadence;
  if (waits)
    cadence.answered(7);
  first = cadence.next();
  Micros at = std::min(begun ? silent + Cadence::pause : first.first, first.whole);
  for (;; --more) {
    cadence.failed();
    at += Cadence::again;
    EXPECT_EQ(cadence.next().wait, Micros(0))
        << "what was missed is asked for whole, by a call that does not wait";
    if (more == 0)
      return at;
    at += cadence.next().first;
  }
}

TEST(Silence, WhatASilentWatchMissesIsHadInTime) {
  for (const bool waits : {false, true})
    for (const bool begun : {false, true})
      for (int more = 0; more <= 3; ++more)
        for (Micros silent = 0us;; silent += 10ms) {
          Cadence cadence;
          if (waits)
            cadence.answered(7);
          if (silent >= cadence.next().first)
            break;
          Cadence::Call call;
          const Micros at = had_again(waits, silent, begun, more, call);
          ASSERT_LE(at + 500ms, told_by(call, silent)) << waits << begun << more << ' ' << silent.count();
        }
}

// A watch goes on only if the next call comes within 200 ms, and discovery takes waits of 60 s at the most.
TEST(Silence, AWatchGoesOn) {
  Cadence cadence;
  EXPECT_EQ(cadence.next().target, "/v1/servers");
  cadence.answered(41);
  const auto call = cadence.next();
  EXPECT_EQ(call.target, "/v1/servers?index=41&wait=" + std::to_string(call.wait.count() / 1000));
  EXPECT_LE(call.wait, 60s);
  EXPECT_GT(call.first, call.wait);  // an answer without changes is no silence
  EXPECT_LT(Cadence::again, 200ms);
  cadence.failed();
  EXPECT_FALSE(cadence.has_list());
}

// Lists come with whitespace wherever JSON allows it, or with none, and say the same.
TEST(Lists, MayComeIndented) {
  const auto parsed = nlohmann::json::parse(R"({"generation":41,"reset":true,"instances":[
      {"instanceId":"s-1","hostPort":"10.1.0.18:5000","zone":"a","machineType":"m2","cell":3,"lifecycle":"leaving","weight":1.5,"startedAtMs":17}]})");
  std::string odd = " \t\r\n";
  for (const char c : parsed.dump())
    odd += std::string("{}[]:,").find(c) != std::string::npos && odd.back() != '8'
               ? std::string("\r\n\t ") + c + " \n"
               : std::string(1, c);
  odd += "\n\n";
  for (const std::string& text : {parsed.dump(), parsed.dump(4), parsed.dump(1, '\t'), odd}) {
    const NodeList list = parse_list_text(text);
    EXPECT_EQ(list.version, 41u);
    EXPECT_TRUE(list.whole);
    ASSERT_EQ(list.nodes.size(), 1u);
    EXPECT_EQ(list.nodes[0].address, "10.1.0.18:5000");
    EXPECT_EQ(list.nodes[0].state, EndpointState::draining);
    EXPECT_EQ(list.nodes[0].started_at, 17ms);
  }
}

// A deployment without zones, cells or weights leaves them out, or says null.
TEST(Lists, MayLeaveOutWhatADeploymentHasNot) {
  for (
      const char* entry :
      {R"({"instanceId":"s","hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"active"})",
       R"({"instanceId":"s","hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"active","zone":null,"cell":null,"weight":null,"startedAtMs":null})"}) {
    const auto node =
        parse_list_text(std::string(R"({"generation":1,"reset":true,"instances":[)") + entry + "]}")
            .nodes.at(0);
    EXPECT_EQ(std::tuple(node.zone, node.cell, node.weight, node.started_at),
              std::tuple(std::string(), unknown_cell, 1.0f, Micros(0)));
  }
}

}  // namespace
}  // namespace lemonroute::discovery
