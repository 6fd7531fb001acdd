// A schedule of faults drawn from a seed, played in the world, and what must hold during and after it.
#pragma once

#include <string>
#include <vector>

#include "world.h"

namespace lemonroute::peers {

// Within so many periods of the last heal all who run have one view, whatever had happened. It is made of: a
// probe of the gone by anyone, the word to each member that it was given up and its refutation, the rounds of
// anti-entropy that carry as many facts as there are members, and for the dead a suspicion by hearsay, of
// twice the least.
double periods_to_one_view(std::size_t members);

struct Played {
  bool held = false;
  std::string why;  // which property did not, and where
  std::size_t members = 0;
  double healed_in = 0;            // periods
  std::vector<std::string> trace;  // what was done, and the seed
  Digest digest;                   // of that, and of all datagrams
};
Played play_schedule(std::uint64_t seed);

}  // namespace lemonroute::peers
