// One pool's way from region to region, as any router of its home region follows it. Free of I/O.
//
//   planned --(a keeper has the new ballot)--> draining --(a majority has promised it to the new owner)-->
//   handed over
//   --(the new owner's writers take work)--> cold --(warm)--> serving
//
// All of it but `planned` is derived from what keepers say, so nothing is lost with the router that proposed
// a move: a ballot that one keeper took reaches all by the questions of those that heard of it, and one that
// none took never was. A pool whose owner is not given it for `undone_after`, or no longer asks for it, is
// proposed back to its home.
#pragma once

#include <optional>
#include <string>

#include "pools/rights/ballot.h"
#include "pools/rights/terms.h"

namespace lemonroute::pools {

enum class Step : std::uint8_t { serving, planned, draining, handed_over, cold };
const char* step_text(Step step);

class Move {
 public:
  Move(Terms terms, RegionId home, Micros cold_for) : terms_(terms), home_(home), cold_for_(cold_for) {}

  struct Seen {
    Owned owned;
    bool held = false;   // a majority of the keepers promised it to that owner
    bool heard = false;  // a majority of the keepers answered at all
  };
  void see(const Seen& seen, Micros now);
  void plan(RegionId to,
            std::string why);  // by the planning router; holds until the ballot is seen, or unplan
  void unplan() { planned_.reset(); }

  Step step(Micros now) const;
  bool moving(Micros now) const { return step(now) != Step::serving; }
  // To whom the planning router has to propose the pool now, under a ballot newer than the one seen; else
  // nothing.
  std::optional<RegionId> proposal(Micros now) const;
  bool undoes(Micros now) const;  // the proposal takes it home, since its owner was not there
  const std::string& why() const { return why_; }
  std::optional<RegionId> planned() const { return planned_; }

  Micros undone_after() const { return 4 * terms_.lease; }

 private:
  Terms terms_;
  RegionId home_;
  Micros cold_for_;
  Seen seen_;
  std::optional<Micros> idle_since_;  // keepers answer, and its owner does not hold it
  std::optional<Micros> held_since_;  // under this ballot
  std::optional<RegionId> planned_;
  std::string why_;
};

}  // namespace lemonroute::pools
