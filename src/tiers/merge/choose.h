// From the votes for a key to its few holders: the devices with most behind them.
#pragma once

#include <functional>
#include <vector>

#include "tiers/merge/row.h"

namespace lemonroute::tiers {

// A holder as the others are told of it.
struct Shown {
  NameId device = 0;
  Generation generation{};
  std::uint32_t tokens = 0;
  std::uint8_t confidence = 0;
  Micros seen{};
  NameId by = 0;           // the contributor whose length it is
  std::uint8_t votes = 1;  // of contributors
};

struct Believed {
  std::function<bool(NameId device, const Generation&)>
      holds;                                        // whether the generation is the device's own still
  std::function<double(NameId contributor)> trust;  // 0 to 1
  Micros now{}, fade{};
};

double faded(std::uint8_t confidence, Micros seen, Micros now,
             Micros fade);  // 0 to 1, half after each `fade`

// Best first, holders_bound at the most. A holder's length is the second longest that is claimed, or the only
// one, so that one contributor can't make it longer than another says. Of `before` those stay in front that
// are nearly as good, so that all routers use the same few holders for long.
std::vector<Shown> choose(const Row& row, const std::vector<Shown>& before, const Believed& believed);

// Whether the change is worth a line at once, not only with the next repeat.
bool differs(const std::vector<Shown>& a, const std::vector<Shown>& b);

}  // namespace lemonroute::tiers
