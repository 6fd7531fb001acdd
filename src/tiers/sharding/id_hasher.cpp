#include "tiers/sharding/id_hasher.h"

#include <xxhash.h>

namespace lemonroute::tiers {

std::uint64_t IdHasher::mix(std::uint64_t a, std::uint64_t b) const {
  const std::uint64_t numbers[] = {a, b};
  return XXH3_64bits_withSeed(numbers, sizeof numbers, secret_);
}
KeyId IdHasher::session(Key key) const {
  return mix(key, 1);
}
KeyId IdHasher::shared_prefix(Key key) const {
  return mix(key, 2);
}
NameId IdHasher::name(std::string_view name) const {
  return XXH3_64bits_withSeed(name.data(), name.size(), secret_);
}

}  // namespace lemonroute::tiers
