// The hash behind the digests. All routers must compute the same one, since they compare digests.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string_view>

namespace lemonroute::peers::membership {

/// XXH3 of a text, the same on every machine.
inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace lemonroute::peers::membership
