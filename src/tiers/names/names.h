// Keys, devices and routers as the fleet speaks of them: hashes with a seed that only its members know, so
// that nobody outside can aim at a shard or make two keys meet.
#pragma once

#include <cstdint>
#include <string_view>

#include "lemonroute/scheduler.h"
#include "tiers/options.h"

namespace lemonroute::tiers {

using KeyId = std::uint64_t;   // of a session's or an opening's key
using NameId = std::uint64_t;  // of a device or a router
enum class Tier : std::uint32_t { site = 0, region = 1 };

class Names {
 public:
  explicit Names(std::uint64_t secret) : secret_(secret) {}
  KeyId session(
      Key key) const;  // a session's key and an opening's are different even where the numbers agree
  KeyId shared(Key key) const;
  NameId of(std::string_view name) const;
  std::uint64_t mix(std::uint64_t a, std::uint64_t b) const;

 private:
  std::uint64_t secret_;
};

inline std::size_t shard_of(KeyId key) {
  return key >> 60;
}
static_assert(shards == 16, "shard_of takes four bits");

}  // namespace lemonroute::tiers
