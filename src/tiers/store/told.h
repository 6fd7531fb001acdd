// What this router was told by the heads of the shards: the side from which hints are read.
#pragma once

#include <array>
#include <functional>
#include <map>

#include "tiers/wire/payload.h"

namespace lemonroute::tiers {

class Told {
 public:
  struct Row {
    std::vector<Shown> holders;
    std::uint8_t weight = 0;
    NameId teller = 0;
    Micros at{};
  };
  explicit Told(std::size_t most_keys) : most_(std::max<std::size_t>(4, most_keys / shards)) {}
  // Of several tellers the most trusted one holds. Returns whether hints are other than before.
  bool put(const Line& line, NameId teller, Micros now, const std::function<double(NameId)>& trust);
  bool expire(Micros before);
  const Row* find(KeyId key) const;
  template <class F>
  void each(F&& f) const {
    for (const auto& shard : shards_)
      for (const auto& [key, row] : shard)
        f(key, row);
  }
  // In the order of keys, those of shards that `which` takes.
  std::vector<Line> after(KeyId cursor, std::size_t most,
                          const std::function<bool(std::size_t shard)>& which) const;
  std::size_t size() const;
  std::uint64_t evicted() const { return evicted_; }

 private:
  std::size_t most_;
  std::array<std::map<KeyId, Row>, shards> shards_;
  std::uint64_t evicted_ = 0;
};

}  // namespace lemonroute::tiers
