/// \file
/// Hashes for decisions that must look random and still be repeatable. They are the same in every process and
/// version: routers that share no state agree by them, so a changed hash would make old and new routers
/// disagree during an upgrade. Not for cryptography. Free of I/O and of state, so that any thread may call
/// them.
#pragma once

#include <cstdint>

namespace lemonroute::estimation {

/// Returns the hash of a number, by one step of SplitMix64. Different numbers have different hashes.
inline std::uint64_t hash64(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ull;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
  return value ^ (value >> 31);
}

/// Returns the upper 53 bits of a hash as a number from 0 (included) to 1 (excluded).
inline double hash_to_unit_interval(std::uint64_t hash) {
  const std::uint64_t upper_bits = hash >> 11;
  return static_cast<double>(upper_bits) * 0x1p-53;
}

}  // namespace lemonroute::estimation
