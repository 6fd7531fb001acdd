// The same hash on every router: digests are compared between them.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string_view>

namespace lemonroute::peers::membership {

inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace lemonroute::peers::membership
