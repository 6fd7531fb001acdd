// Runs a random schedule of faults, drawn from a seed, in the simulation, and checks properties of membership
// during and after it.
#pragma once

#include <string>
#include <vector>

#include "simulation.h"

namespace lemonroute::peers {

// Returns the number of periods after the last fault within which all running members must have one view.
// They need the time for: a probe of a gone member by any other one, the message to that member that it was
// given up and its refutation, the rounds of anti-entropy that carry as many facts as there are members, and
// for a member that really ended a suspicion by hearsay, which takes twice the shortest suspicion.
double max_convergence_periods(std::size_t members);

struct ScheduleResult {
  bool passed = false;
  std::string why;  // the property that failed, and where
  std::size_t members = 0;
  double convergence_periods = 0;  // after the last fault
  std::vector<std::string> trace;  // what was done
  Digest digest;                   // of the trace and all datagrams
};
ScheduleResult run_schedule(std::uint64_t seed);

}  // namespace lemonroute::peers
