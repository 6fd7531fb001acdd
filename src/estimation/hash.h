// Hashes that are the same in every process. No I/O, no state.
#pragma once

#include <cstdint>

namespace lemonroute::estimation {

inline std::uint64_t hash64(std::uint64_t x) {  // the same in every process
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
inline double hash_to_unit_interval(std::uint64_t x) {
  return static_cast<double>(x >> 11) * 0x1p-53;
}  // 0 to 1, 1 excluded

}  // namespace lemonroute::estimation
