#include "guide/siblings.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

peers::View view(std::uint32_t there, std::uint32_t known, bool minority = false) {
  peers::View view;
  view.period = seconds(1);
  view.known = known;
  view.members.resize(std::max(there, known));
  for (std::size_t i = there; i < view.members.size(); ++i)
    view.members[i].standing = peers::Standing::gone;
  if (minority)
    view.minority_since = Micros(1);
  return view;
}

TEST(Siblings, rise_at_once_and_fall_after_thirty_periods_in_which_nothing_larger_was_seen) {
  Siblings siblings({1, 1, 1000, 30});
  struct Step {
    int at;
    std::uint32_t there, known;
    bool minority;
    std::uint32_t expected;
  };
  for (const auto& s : {
           Step{0, 1, 1, false, 1},
           Step{1, 10, 10, false, 10},
           Step{2, 24, 24, false, 24},
           Step{10, 20, 24, false, 24},  // last seen at 24 until now
           Step{39, 20, 24, false, 24},
           Step{40, 20, 24, false, 20},
           Step{41, 24, 24, false, 24},
           Step{50, 3, 24, true, 24},
           Step{5000, 3, 24, true, 24},  // a minority keeps it for as long as it is one
           Step{5001, 22, 24, false, 24},
           Step{5031, 22, 24, false, 22},
           Step{5032, 12, 24, false, 22},  // exactly half is no majority
           Step{6000, 12, 24, false, 22},
           Step{6001, 13, 24, false, 22},
           Step{6031, 13, 24, false, 13},
           Step{6032, 9, 13, false, 13},  // others have left; again only after so many periods
           Step{6061, 9, 13, false, 13},
           Step{6062, 9, 13, false, 9},
       })
    EXPECT_EQ(siblings.see(seconds(s.at), view(s.there, s.known, s.minority)), s.expected) << "at " << s.at;
}

TEST(Siblings, hold_what_the_settings_say_until_more_than_half_of_it_is_there_and_stay_within_bounds) {
  Siblings alone({100, 1, 1000, 30});
  for (int at = 0; at < 500; ++at)
    EXPECT_EQ(alone.see(seconds(at), view(at < 250 ? 1 : 50, 50)), 100u);
  Siblings most({100, 1, 1000, 30});
  for (int at = 0; at < 500; ++at)
    EXPECT_EQ(most.see(seconds(at), view(51, 51)), at < 30 ? 100u : 51u);
  Siblings bounded({4, 3, 8, 30});
  EXPECT_EQ(bounded.see(seconds(0), view(20, 20)), 8u);
  EXPECT_EQ(bounded.see(seconds(50), view(1, 1)), 8u);
  EXPECT_EQ(Siblings({1, 3, 8, 30}).see(seconds(0), view(1, 1)), 3u);
}

// Rule 4 summed over all routers: each sends a cold node one part in as many as it counts, of half of what
// the node bears. A sum over 2 would push it over; below 1 it is warmed slower than it could be.
struct Fleet {
  static constexpr std::uint32_t n = 100;
  explicit Fleet(std::uint32_t stated) : all(n, Siblings({stated, 1, 100'000, 30})) {}
  // Part `of[i]` of the fleet is seen by its own only; `up` of them run.
  void see(int from, int to, const std::vector<int>& of, std::uint32_t known) {
    std::map<int, std::uint32_t> size;
    for (std::uint32_t i = 0; i < n; ++i)
      if (of[i] >= 0)
        ++size[of[i]];
    std::map<int, peers::View> views;
    for (const auto& [part, count] : size)
      views[part] = view(count, known, 2 * count < known);
    for (int at = from; at <= to; ++at) {
      sum = 0;
      for (std::uint32_t i = 0; i < n; ++i)
        if (of[i] >= 0)
          sum += 1.0 / all[i].see(seconds(at), views[of[i]]);
      worst = std::max(worst, sum);
      least = std::min(least, sum);
    }
  }
  std::vector<Siblings> all;
  double sum = 0, worst = 0, least = 1e9;
};

TEST(Siblings, rule_4_holds_over_all_routers_whatever_part_of_them_each_sees) {
  std::mt19937_64 random(5);
  for (const std::uint32_t stated : {1u, 30u, 100u, 300u})
    for (int parts = 1; parts <= 5; ++parts) {
      Fleet fleet(stated);
      const std::vector<int> whole(Fleet::n, 0);
      fleet.see(0, 60, whole, Fleet::n);
      // Once all is seen it is as a right number would have it; a number stated too large goes on where more
      // than half of it is not there, and only then.
      EXPECT_DOUBLE_EQ(fleet.sum, stated > 2 * Fleet::n ? Fleet::n / double(stated) : 1.0) << stated;
      fleet.worst = 0;
      std::vector<int> cut(Fleet::n);
      for (auto& one : cut)
        one = static_cast<int>(random() % parts * (random() % 3 > 0));
      fleet.see(61, 400, cut, Fleet::n);
      EXPECT_LT(fleet.worst, 1.5) << stated << " in " << parts;
      fleet.see(401, 500, whole, Fleet::n);
      EXPECT_LE(fleet.sum, 1.0 + 1e-9);
    }
}

TEST(Siblings, too_few_is_no_worse_than_the_number_of_the_settings_and_too_many_is_made_good) {
  struct Case {
    const char* what;
    std::uint32_t stated;
    int lost;              // of 100 are killed
    double most, at_last;  // worst sum ever; sum a minute later
  };
  for (const auto& c : {
           Case{"the number is right and nothing happens", 100, 0, 1, 1},
           Case{"too few stated: the fixed number would send 100/20 = 5 parts", 20, 0, 1, 1},
           Case{"too many stated: the fixed number would warm nodes at half speed", 180, 0, 1, 1},
           Case{"a third is killed: the fixed number would go on at 0.67", 100, 33, 1, 1},
           Case{"most are killed: as the fixed number", 100, 60, 1, 0.4},
       }) {
    Fleet fleet(c.stated);
    std::vector<int> up(Fleet::n, 0);
    fleet.see(0, 60, up, Fleet::n);
    for (int i = 0; i < c.lost; ++i)
      up[static_cast<std::size_t>(i)] = -1;
    fleet.see(61, 161, up, Fleet::n);
    EXPECT_LE(fleet.worst, c.most + 1e-9) << c.what;
    EXPECT_NEAR(fleet.sum, c.at_last, 1e-9) << c.what;
  }
}

TEST(Siblings, a_release_that_restarts_each_router_in_turn_moves_nothing) {
  Siblings siblings({24, 1, 1000, 30});
  std::uint32_t least = 1000, most = 0;
  for (int at = 0; at < 600; ++at) {
    const auto now = siblings.see(seconds(at), view(at % 20 < 5 ? 23 : 24, 24));
    least = std::min(least, now);
    most = std::max(most, now);
  }
  EXPECT_EQ(least, 24u);
  EXPECT_EQ(most, 24u);
}

}  // namespace
}  // namespace lemonroute::guide
