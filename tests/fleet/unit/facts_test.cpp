// Facts, judged by what processes print.
#include "watch/facts.h"

#include <gtest/gtest.h>

#include "scene/line.h"
#include "scene/steps.h"

namespace lemonroute::rig {
namespace {

struct Case {
  const char* fact;
  std::string missing;
};
class Facts : public ::testing::TestWithParam<Case> {
 protected:
  Known known(const char* fleet) const { return {true, true, true, false, nlohmann::json::parse(fleet)}; }
};
TEST_P(Facts, AreJudged) {
  const auto scene = parse_scene("s", "routers c1..c5 site=a\nstart all\n");
  AllKnown all;
  all["c1"] = known(
      R"({"known": 3, "minority_ms": null, "pools": {"pools": [{"name": "p", "owner": "north"}]}, "members": [
    {"name": "c1", "standing": "alive"}, {"name": "c2", "standing": "suspected"}, {"name": "c3", "standing": "gone", "unreachable_from_here": true}]})");
  all["c2"] = known(
      R"({"known": 3, "minority_ms": 40, "members": [{"name": "c1", "standing": "alive"}, {"name": "c2", "standing": "alive"}]})");
  all["c3"].ended_well = true;
  all["c4"] = known("{}");
  all["c4"].fresh = false;
  all["c5"] = known(R"({"members": [{"name": "c5", "standing": "alive"}]})");
  Line line("s", 1, GetParam().fact);
  EXPECT_EQ(missing(read_fact(scene, line), all), GetParam().missing);
}
INSTANTIATE_TEST_SUITE_P(
    Cases, Facts,
    ::testing::Values(
        Case{"c1 sees alive=1 suspected=1 gone=1 there=2 known=3", ""},
        Case{"c1 sees alive=3", "c1 sees alive=1"}, Case{"c1 sees c2=suspected c3=gone c4=none", ""},
        Case{"c1 sees c2=gone", "c1 sees c2=suspected"}, Case{"c1 sees c3=unreachable", ""},
        Case{"c1 sees c2=unreachable", "c1 sees c2=suspected"}, Case{"c1 c2 agree", ""},
        Case{"c1 agree", "c1 sees there: c1 c2"}, Case{"c1 c5 agree", "c1 sees there: c1 c2"},
        Case{"c5 agree", ""}, Case{"c2 minority", ""}, Case{"c1 minority", "c1 is not in a minority"},
        Case{"c1 majority", ""}, Case{"c2 majority", "c2 is in a minority"}, Case{"c1 ready", ""},
        Case{"c3 ready", "c3 does not run"}, Case{"c3 ended", ""},
        Case{"c1 ended", "c1 has not ended by itself"},
        Case{"c4 sees alive=0", "c4 has not been heard of yet"}, Case{"c1 has /known >= 3", ""},
        Case{"c1 has /known <= 2", "c1 has /known = 3"}, Case{"c1 has /members/0/name = c1", ""},
        Case{"c2 has /pools/x = 1", "c2 has no /pools/x"}, Case{"pool p owner north at c1", ""},
        Case{"pool p owner south at c1", "c1 says that pool p is north's"},
        Case{"pool p owner north at c2", "c2 knows no pool p"}),
    [](auto& one) { return "Case" + std::to_string(one.index); });

}  // namespace
}  // namespace lemonroute::rig
