// From what each region should have and what it has, to the pools that should move. A pure function: the same
// inputs, in whatever order, give the same plan on every router.
//
// A region is short by what it wants beyond its writers. Two kinds of moves are made:
// - needed: one that lowers the sum of all shortages by more than the hysteresis;
// - home: a pool lent away goes back once its borrower has it left over, by more than the hysteresis.
// So while what regions want stays within half of the hysteresis of any fixed wish, each needed move lowers
// the shortage under that wish and each home move lowers the number of pools lent out without raising it: no
// pool can come back to where it was, and moves end.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/names.h"

namespace lemonroute::pools::planner {

struct Region {
  std::string name;
  double wanted = 0;   // writers
  double reserve = 0;  // writers below which it is never brought by lending
  bool takes = true;   // false: no pool is moved there, since nobody there answers
};
struct Pool {
  PoolName name;
  std::string home, owner;  // regions; while it moves, the owner is the one to come
  double writers = 0;
  std::string fixed;    // why it can't move at all, "reserve" for one; empty: it can
  bool moving = false;  // handed over, or cold, too
};
struct Settings {
  double hysteresis = 1;  // writers, above 0
  std::size_t moving_at_once = 1;
  double room =
      0.5;  // part of what a region wants that must be left to it after the loss of any one site, 0 to 1
};
struct Inputs {
  Settings settings;
  std::vector<Region> regions;
  std::vector<Pool> pools;
  std::set<std::string> lost;  // sites
  std::map<std::pair<std::string, std::string>, double>
      distance;  // region, site; 0 at home, otherwise 1 where absent
};

struct Move {
  PoolName pool;
  std::string from, to;
  std::string why;
};
// Why a region does not get what it wants, with the constraint to blame.
struct Blame {
  std::string region, constraint, text;
};
struct Plan {
  std::vector<Move> moves;
  std::vector<Blame>
      blames;  // one for each region that stays short by more than the hysteresis, and no others
};

Plan plan(const Inputs& inputs);

}  // namespace lemonroute::pools::planner
