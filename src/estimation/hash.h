/// \file
/// Hashes for pseudorandom, repeatable decisions. They must stay the same in every process and version:
/// routers without shared state agree through them, so a different hash would make old and new routers
/// disagree during an upgrade. Not for cryptography. The functions are stateless and thread-safe.
#pragma once

#include <cstdint>

namespace lemonroute::estimation {

/// Returns the hash of a number: one step of SplitMix64. Different numbers have different hashes.
inline std::uint64_t hash64(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ull;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
  return value ^ (value >> 31);
}

/// Returns the upper 53 bits of a hash as a number in [0, 1).
inline double hash_to_unit_interval(std::uint64_t hash) {
  const std::uint64_t upper_bits = hash >> 11;
  return static_cast<double>(upper_bits) * 0x1p-53;
}

}  // namespace lemonroute::estimation
