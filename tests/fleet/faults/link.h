// What becomes of each datagram on one link in one direction. Free of I/O; the same seed gives the same
// fates.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::rig {

struct Faults {
  bool cut = false;
  Micros slow{};                                          // on top of the way itself
  double lose = 0, repeat = 0, reorder = 0, corrupt = 0;  // parts of all datagrams, 0 to 1
  bool none() const {
    return !cut && slow == Micros(0) && lose == 0 && repeat == 0 && reorder == 0 && corrupt == 0;
  }
};

class Link {
 public:
  struct Copy {
    Micros after{};
    std::string bytes;
  };
  Link(std::uint64_t seed, Micros period) : state_(seed), period_(period) {}

  Faults faults;
  std::vector<Copy> pass(std::string bytes);  // what arrives of it, in no order

 private:
  double chance();  // 0 to 1
  bool happens(double part) { return part > 0 && chance() < part; }
  std::uint64_t state_;
  Micros period_;
};

}  // namespace lemonroute::rig
