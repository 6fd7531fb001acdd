// The device tier: what this router has itself seen kept, and what of it the collectors are still to be told.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "tiers/merge/row.h"
#include "tiers/store/heavy.h"

namespace lemonroute::tiers {

class DeviceTier {
 public:
  explicit DeviceTier(const Limits& limits) : limits_(limits), heavy_(limits.device_keys) {}

  // A read that ended well: so many tokens of the key are kept there now.
  void saw(KeyId key, NameId device, const Generation& generation, std::uint32_t tokens, Micros now);
  // A node's own count at the beginning of a read. Far less than was thought: what was seen there is gone.
  void found(KeyId key, NameId device, std::uint32_t tokens, Micros now);
  const Holder* find(KeyId key, NameId device) const;
  void expire(const std::function<bool(NameId, const Generation&)>& holds,
              Micros now);  // void and faded ones

  // Keys to be told of now: new and changed ones in order, then those not said for `repeat`. They count as
  // told.
  std::vector<KeyId> due(Micros now, std::size_t most);
  void again(const std::function<bool(KeyId)>& which);  // their collectors have changed
  const std::vector<Holder>& holders(KeyId key) const;  // best first; empty: taken back
  std::uint8_t weight(KeyId key) const;                 // 8 * log2(1 + worth)

  std::size_t size() const { return entries_.size(); }
  std::uint64_t evicted() const { return evicted_; }
  double error() const { return heavy_.error(); }

 private:
  struct Entry {
    std::vector<Holder> holders;
    Micros told{};
    bool waiting = false;  // in line to be told
    unsigned again = 0;    // it is news still
  };
  void changed(KeyId key, Entry& entry);
  Limits limits_;
  Heavy heavy_;
  std::unordered_map<KeyId, Entry> entries_;
  std::deque<KeyId> line_;
  Micros halved_{}, swept_{};
  std::uint64_t evicted_ = 0;
};

std::uint8_t weight_of(double worth);

}  // namespace lemonroute::tiers
