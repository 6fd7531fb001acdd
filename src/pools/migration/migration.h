// Follows one pool as it migrates between regions. Every router of the home region can do so. Does no I/O.
//
//   planned --(a grantor has the new ballot)--> draining --(a quorum has granted it to the new owner)-->
//   handed over --(the new owner's routers send to it)--> cold --(warmed up)--> serving
//
// All phases but `planned` are derived from the answers of grantors, so nothing is lost with the router that
// proposed a migration: a ballot that one grantor accepted reaches all others through the requests of routers
// that learned of it, and a ballot that no grantor accepted has no effect. A pool whose owner lacks the
// grants of a quorum for `return_home_after`, or no longer requests them, is proposed back to its home.
#pragma once

#include <optional>
#include <string>

#include "pools/leases/ballot.h"
#include "pools/leases/terms.h"

namespace lemonroute::pools {

/// Phase of a pool's migration. `serving`: no migration is in progress.
enum class MigrationPhase : std::uint8_t { serving, planned, draining, handed_over, cold };
/// The phase's name, for operators.
const char* phase_text(MigrationPhase phase);

/// State of one pool's migration.
class Migration {
 public:
  /// `home`: home region of the pool. `warmup`: how long decode nodes warm up under a new owner.
  Migration(LeaseTerms terms, RegionId home, Micros warmup) : terms_(terms), home_(home), warmup_(warmup) {}

  /// What a lease holder knows of the pool.
  struct Observation {
    Ownership ownership;            ///< the newest ballot known and its owner
    bool owner_has_quorum = false;  ///< a quorum of the grantors granted the pool to that owner
    bool quorum_answers = false;    ///< a quorum of the grantors answered at all
  };
  /// Takes a new observation.
  void observe(const Observation& observation, Micros now);
  /// Plans a migration, on the planning router. The plan holds until another ballot is observed, or until
  /// `clear_plan`.
  void plan(RegionId to, std::string why);
  /// Drops the plan.
  void clear_plan() { planned_owner_.reset(); }

  /// The current phase.
  MigrationPhase phase(Micros now) const;
  /// Whether a migration is planned or in progress.
  bool migrating(Micros now) const { return phase(now) != MigrationPhase::serving; }
  /// The region to which the planning router must propose the pool now, under a newer ballot than the one
  /// observed; nothing if there is no proposal to make.
  std::optional<RegionId> proposal(Micros now) const;
  /// Whether the proposal returns the pool to its home because its owner has not held it.
  bool returns_home(Micros now) const;
  /// The reason of the last plan.
  const std::string& why() const { return why_; }
  /// The region that the plan names; nothing if there is no plan.
  std::optional<RegionId> planned_owner() const { return planned_owner_; }

  /// How long an owner may lack the grants of a quorum before the pool is proposed back to its home.
  Micros return_home_after() const { return 4 * terms_.lease; }

 private:
  LeaseTerms terms_;
  RegionId home_;
  Micros warmup_;
  Observation observed_;
  std::optional<Micros> unheld_since_;  // grantors answer, and the owner has no quorum
  std::optional<Micros> held_since_;    // under this ballot
  std::optional<RegionId> planned_owner_;
  std::string why_;
};

}  // namespace lemonroute::pools
