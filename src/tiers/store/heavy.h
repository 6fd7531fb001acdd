// Space-saving (Metwally, Agrawal, El Abbadi 2005): which keys are worth most, with room for a fixed number
// of them. A key that takes another's place begins with its count, so the heavy ones are never missed and the
// error is known.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Heavy {
 public:
  explicit Heavy(std::size_t most) : most_(most) {}
  std::optional<KeyId> add(KeyId key,
                           double worth);  // worth > 0; returns the key that lost its place, if one did
  void erase(KeyId key);
  void halve();                   // so that what was heavy long ago makes room
  double count(KeyId key) const;  // true worth <= it <= true worth + error(); 0: unknown
  double error() const { return error_; }
  std::size_t size() const { return counts_.size(); }

 private:
  std::size_t most_;
  std::unordered_map<KeyId, double> counts_;
  std::set<std::pair<double, KeyId>> order_;
  double error_ = 0;  // the largest count that was inherited
};

}  // namespace lemonroute::tiers
