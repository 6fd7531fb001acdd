// Draws from a seed, the same on every machine: the library's distributions are not.
#pragma once

#include <cstddef>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

namespace lemonroute::peers::membership {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  std::uint32_t below(std::size_t most) { return most ? engine_(static_cast<std::uint32_t>(most)) : 0; }
  std::uint32_t word() { return engine_(); }
  template <class T>
  void shuffle(std::vector<T>& items) {
    for (std::size_t left = items.size(); left > 1; --left)
      std::swap(items[left - 1], items[below(left)]);
  }

 private:
  pcg32 engine_;
};

}  // namespace lemonroute::peers::membership
