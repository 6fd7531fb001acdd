// The language of scenes: what is taken, and that each fault is said with its line and reason.
#include "scene/scene.h"

#include <gtest/gtest.h>

namespace lemonroute::rig {
namespace {

const std::string fleet = "period 50ms\nrouters c1..c3 site=a\nrouters d1 site=b\nreaders r1 site=a cell=2\n";

TEST(Scene, IsReadWhole) {
  const auto scene = parse_scene(
      "s",
      fleet +
          "region north sites=a keepers=c1,c2\nkey c2 new old\nclock c3 -400ms\nsetting cold_for = \"2s\"\n"
          "relay devices\nstart all   # every one\ncut site=a > rest\nlose c1 | r1 30%\nrestart c1 "
          "state=lost\n"
          "load 20/s on c1 c2 openings=2\nexpect c1 c2 sees alive=3 d1=gone within 40\nhold 5 d1 minority\n"
          "expect pool p owner north at all\nexpect c1 has /version >= 3\nheal\n");
  EXPECT_EQ(scene.routers.size(), 4u);
  EXPECT_EQ(scene.router("c2")->keys, (Names{"new", "old"}));
  EXPECT_EQ(scene.router("c3")->clock, std::chrono::milliseconds(-400));
  EXPECT_EQ(scene.device("r1")->cell, 2);
  EXPECT_EQ(scene.regions[0].keepers, (Names{"c1", "c2"}));
  EXPECT_EQ(scene.settings.at("cold_for"), "\"2s\"");
  ASSERT_EQ(scene.steps.size(), 10u);
  EXPECT_EQ(scene.steps[0].names.size(), 4u);
  EXPECT_FALSE(scene.steps[1].both_ways);
  EXPECT_EQ(scene.steps[1].others, Names{"d1"});
  EXPECT_EQ(scene.steps[2].part, 0.3);
  EXPECT_TRUE(scene.steps[3].state_lost);
  EXPECT_EQ(scene.steps[4].rate, 20);
  EXPECT_EQ(scene.steps[5].fact.wanted.at("d1"), "gone");
  EXPECT_EQ(scene.steps[5].periods, 40u);
  EXPECT_EQ(scene.steps[6].fact.kind, FactKind::minority);
  EXPECT_EQ(scene.steps[8].fact.compare, Compare::at_least);
  EXPECT_TRUE(scene.steps[9].names.empty());
}

struct Bad {
  const char* name;
  const char* lines;
  const char* why;  // line 5 is the first of them
};
class BadScene : public ::testing::TestWithParam<Bad> {};
TEST_P(BadScene, IsToldWithLineAndReason) {
  try {
    parse_scene("s", fleet + GetParam().lines);
    FAIL() << "it was taken";
  } catch (const SceneError& error) {
    EXPECT_EQ(std::string(error.what()), "s:" + std::string(GetParam().why));
  }
}
INSTANTIATE_TEST_SUITE_P(
    Cases, BadScene,
    ::testing::Values(Bad{"Verb", "starts c1\n", "5: 'starts' is no verb"},
                      Bad{"Name", "start c9\n", "5: 'c9' is no router"},
                      Bad{"NoName", "start\n", "5: a name is missing"},
                      Bad{"Twice", "routers c2 site=a\nstart c1\n", "5: 'c2' is there twice"},
                      Bad{"Late", "start c1\nclock c1 4s\n", "6: 'clock' must come before the first step"},
                      Bad{"Side", "cut c1 c2\n", "5: '|' or '>' is missing between the two sides"},
                      Bad{"BothSides", "cut c1 | c1 c2\n", "5: 'c1' is on both sides"},
                      Bad{"Device", "cut c1 | r1\n",
                          "5: links to devices are out of reach without 'relay devices'"},
                      Bad{"Part", "lose c1 | c2 30\n", "5: '30' is no part, as in 30%"},
                      Bad{"TooMuch", "wait 5 6\n", "5: '6' is too much"},
                      Bad{"Standing", "expect c1 sees c2=dead\n",
                          "5: 'dead' is no standing: alive, suspected, gone, left, none, unreachable"},
                      Bad{"Fact", "expect c1 sleeps\n", "5: 'sleeps' can't be expected"},
                      Bad{"Rate", "load 20 on c1\n", "5: '20' is no rate, as in 20/s"},
                      Bad{"NoSteps", "seed 3\n", "5: no steps"},
                      Bad{"Keeper", "region n sites=a keepers=x\nstart c1\n", "5: 'x' is no router"},
                      Bad{"Mixed", "restart c1 r1\n", "5: 'r1' is no router"},
                      Bad{"Span", "slow c1 | c2 200\n", "5: '200' is no span, as in 200ms or 3s"}),
    [](auto& one) { return one.param.name; });

}  // namespace
}  // namespace lemonroute::rig
