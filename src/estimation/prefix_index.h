// Which nodes keep how much of which prompt prefixes, as one router has seen it. A container: it decides
// nothing. No I/O, no clock; bounded by the number of keys.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

class PrefixIndex {
 public:
  // The prefix `key` is kept at `host`, `length` tokens long. Does nothing for key 0 or no length.
  void record(Key key, EndpointId host, double length, Micros now);
  // Tokens of the prefix `key` that are taken to be kept at `host`: 0 where nothing was recorded after
  // `void_before`. A record counts in full for `fresh`, then less and less.
  double cached_tokens(Key key, EndpointId host, Micros void_before, Micros now) const;
  bool contains(Key key) const { return entries_.contains(key); }

  static constexpr Micros full_confidence_for = std::chrono::seconds(30);
  static constexpr std::size_t max_keys = 20000;

 private:
  struct Cached {
    EndpointId host;
    double length;
    Micros at;
  };
  std::map<Key, std::vector<Cached>> entries_;
};

}  // namespace lemonroute::estimation
