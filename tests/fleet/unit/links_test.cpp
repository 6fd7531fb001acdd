// Links: what each fault does to datagrams, that a seed gives the same fates again, and that a heal mends
// all.
#include "faults/links.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lemonroute::rig {
namespace {

using std::chrono::milliseconds;

struct Sum {
  std::size_t arrived = 0, repeated = 0, late = 0, spoilt = 0;
  bool operator==(const Sum&) const = default;
};
Sum play(Link& link, int datagrams) {
  const std::string text(100, 'x');
  Sum sum;
  for (int i = 0; i < datagrams; ++i) {
    const auto copies = link.pass(text);
    sum.arrived += !copies.empty();
    sum.repeated += copies.size() > 1;
    for (const auto& copy : copies)
      sum.late += copy.after > Micros(0), sum.spoilt += copy.bytes != text;
  }
  return sum;
}

TEST(Links, FaultsComeInTheirParts) {
  Link link(7, milliseconds(100));
  EXPECT_EQ(play(link, 1000), (Sum{1000, 0, 0, 0}));
  link.faults = {.lose = 0.3};
  EXPECT_NEAR(static_cast<double>(play(link, 10000).arrived), 7000, 200);
  link.faults = {.repeat = 0.2};
  EXPECT_NEAR(static_cast<double>(play(link, 10000).repeated), 2000, 200);
  link.faults = {.reorder = 0.2};
  EXPECT_NEAR(static_cast<double>(play(link, 10000).late), 2000, 200);
  link.faults = {.corrupt = 0.1};
  EXPECT_NEAR(static_cast<double>(play(link, 10000).spoilt), 1000, 200);
  link.faults = {.slow = milliseconds(200)};
  EXPECT_EQ(link.pass("x")[0].after, milliseconds(200));
  link.faults = {.cut = true};
  EXPECT_EQ(play(link, 1000).arrived, 0u);
}

TEST(Links, TheSameSeedGivesTheSameFates) {
  Link a(7, milliseconds(100)), b(7, milliseconds(100)), c(8, milliseconds(100));
  a.faults = b.faults = c.faults = {.lose = 0.5, .repeat = 0.5, .reorder = 0.5};
  const Sum first = play(a, 1000);
  EXPECT_EQ(first, play(b, 1000));
  EXPECT_FALSE(first == play(c, 1000));
}

TEST(Links, VerbsReachTheLinksThatTheyName) {
  Links links(1, milliseconds(100));
  Step cut;
  cut.verb = Verb::cut;
  cut.names = {"a", "b"};
  cut.others = {"c"};
  cut.both_ways = false;
  links.apply(cut);
  EXPECT_TRUE(links.between("a", "c").faults.cut);
  EXPECT_TRUE(links.between("b", "c").faults.cut);
  EXPECT_FALSE(links.between("c", "a").faults.cut);
  EXPECT_FALSE(links.between("a", "b").faults.cut);
  Step heal;
  heal.verb = Verb::heal;
  heal.names = {"a"};
  heal.others = {"c"};
  links.apply(heal);
  EXPECT_FALSE(links.between("a", "c").faults.cut);
  EXPECT_FALSE(links.whole());
  heal.names = heal.others = {};
  links.apply(heal);
  EXPECT_TRUE(links.whole());
}

}  // namespace
}  // namespace lemonroute::rig
