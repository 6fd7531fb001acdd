// Random numbers that are the same for a seed on every machine, unlike the distributions of the standard
// library.
#pragma once

#include <cstddef>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

namespace lemonroute::peers::membership {

/// A seeded pseudorandom generator; not for cryptography.
class Random {
 public:
  /// Generators of one seed give the same numbers.
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  /// A uniform number in [0, bound); 0 if `bound` is 0.
  std::uint32_t below(std::size_t bound) { return bound ? engine_(static_cast<std::uint32_t>(bound)) : 0; }
  /// A uniform 32-bit number.
  std::uint32_t next_u32() { return engine_(); }
  /// Shuffles the items uniformly.
  template <class T>
  void shuffle(std::vector<T>& items) {
    for (std::size_t left = items.size(); left > 1; --left)
      std::swap(items[left - 1], items[below(left)]);
  }

 private:
  pcg32 engine_;
};

}  // namespace lemonroute::peers::membership
