#include "tiers/names/names.h"

#include <xxhash.h>

namespace lemonroute::tiers {

std::uint64_t Names::mix(std::uint64_t a, std::uint64_t b) const {
  const std::uint64_t both[] = {a, b};
  return XXH3_64bits_withSeed(both, sizeof both, secret_);
}
KeyId Names::session(Key key) const {
  return mix(key, 1);
}
KeyId Names::shared(Key key) const {
  return mix(key, 2);
}
NameId Names::of(std::string_view name) const {
  return XXH3_64bits_withSeed(name.data(), name.size(), secret_);
}

}  // namespace lemonroute::tiers
