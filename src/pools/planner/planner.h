// Decides which pools migrate, given how many decode nodes each region wants and has. The plan is a pure
// function of the inputs: the same inputs in any order give the same plan on every router.
//
// The shortage of a region is what it wants beyond the decode nodes that it has. There are two kinds of
// migrations:
// - needed: lowers the sum of all shortages by more than the hysteresis;
// - return: brings a lent pool home once its borrower has it to spare by more than the hysteresis.
// While the wanted numbers stay within half of the hysteresis of fixed targets, each needed migration lowers
// the shortage under those targets, and each return lowers the number of lent pools without raising the
// shortage. No allocation of the pools occurs twice, so the migrations end.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/names.h"

namespace lemonroute::pools::planner {

/// One region's demand.
struct Region {
  /// Name of the region.
  std::string name;
  double wanted = 0;          ///< decode nodes
  double reserve = 0;         ///< decode nodes that always stay with the region: it lends no pool below this
  bool accepts_pools = true;  ///< false: no pool migrates there, because no router there answers
};
/// One pool of decode nodes.
struct Pool {
  /// Name of the pool.
  PoolName name;
  /// Home and owner of the pool.
  std::string home, owner;   ///< regions; the owner of a migrating pool is the region it migrates to
  double decode_nodes = 0;   ///< ready decode nodes
  std::string fixed_reason;  ///< why it can't migrate, such as "reserve"; empty: it can
  bool migrating = false;    ///< also while it is handed over or warms up
};
/// Limits of a plan.
struct Settings {
  double hysteresis = 1;  ///< decode nodes, above 0
  /// Largest number of migrations at once.
  std::size_t max_concurrent_migrations = 1;
  double headroom = 0.5;  ///< share of what a region wants that a lender keeps after the loss of any one
                          ///< site, 0 to 1
};
/// What a plan is computed from.
struct Inputs {
  /// Limits of the plan.
  Settings settings;
  /// Demand of all regions.
  std::vector<Region> regions;
  /// All pools.
  std::vector<Pool> pools;
  /// Names of the sites that are lost.
  std::set<std::string> lost_sites;
  std::map<std::pair<std::string, std::string>, double>
      distance;  ///< by region and site; where absent, 0 at the pool's home and 1 elsewhere
};

/// A planned migration of a pool.
struct PlannedMigration {
  /// Name of the pool.
  PoolName pool;
  /// Where it migrates from and to.
  std::string from, to;  ///< regions
  std::string why;       ///< the reason, for operators
};
/// Explains why a region stays short, with the constraint that is responsible.
struct Shortage {
  std::string region,  ///< name of the region
      constraint,      ///< the constraint that is responsible
      text;            ///< the explanation, for operators
};
/// The result of planning.
struct Plan {
  /// Planned migrations.
  std::vector<PlannedMigration> migrations;
  std::vector<Shortage>
      shortages;  ///< one for each region that stays short by more than the hysteresis, and no others
};

/// Computes the plan.
Plan plan(const Inputs& inputs);

}  // namespace lemonroute::pools::planner
