/// \file
/// Identifiers of keys, devices and routers as routers exchange them.
#pragma once

#include <cstdint>
#include <string_view>

#include "lemonroute/scheduler.h"
#include "tiers/options.h"

namespace lemonroute::tiers {

using KeyId = std::uint64_t;   ///< hash of a session key or shared-prefix key
using NameId = std::uint64_t;  ///< hash of a device's or router's name
/// A cache tier above the device.
enum class Tier : std::uint32_t { site = 0, region = 1 };

/// Hashes keys and names with a secret seed that only the fleet's routers know, so that outsiders can neither
/// target a shard nor construct collisions.
class IdHasher {
 public:
  /// `secret`: the seed, the same at all routers of the fleet.
  explicit IdHasher(std::uint64_t secret) : secret_(secret) {}
  /// Hashes a session key. It differs from the shared-prefix key of the same number.
  KeyId session(Key key) const;
  /// Hashes a shared-prefix key.
  KeyId shared_prefix(Key key) const;
  /// Hashes the name of a device or router.
  NameId name(std::string_view name) const;
  /// Hashes two numbers.
  std::uint64_t mix(std::uint64_t a, std::uint64_t b) const;

 private:
  std::uint64_t secret_;
};

/// Returns the shard of a key: its leading bits.
inline std::size_t shard_of(KeyId key) {
  return key >> 60;
}
static_assert(shard_count == 16, "shard_of takes four bits");

}  // namespace lemonroute::tiers
