// What a head of shards tells the others: for each key it heads, the holders chosen. Changes first, the
// heaviest of them in front; then what was not said for a while. News is said a few times; what is no longer
// held as well, then it is forgotten.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "tiers/wire/payload.h"

namespace lemonroute::tiers {

class Announcements {
 public:
  explicit Announcements(std::size_t most_keys) : most_gone_(most_keys / 4) {}
  const std::vector<Shown>& holders(KeyId key) const;
  void set(Line line);                                      // no holders: takes it back
  void keep_only(const std::function<bool(KeyId)>& which);  // the rest is another router's to tell now
  // Lines to be told now, `most` at the most; they count as told with `told`.
  std::vector<const Line*> due(Micros now, Micros repeat, std::size_t most) const;
  void told(KeyId key, Micros now);
  std::vector<const Line*> heaviest(std::size_t shard, std::size_t most, std::uint32_t tokens_least) const;
  std::vector<KeyId> keys() const;
  std::size_t size() const { return lines_.size(); }

 private:
  struct Entry {
    Line line;
    Micros told{};
    bool waiting = false;
    unsigned again = 0;  // it is news still
  };
  std::map<KeyId, Entry> lines_;      // of keys held, as many as the vote table has
  std::size_t most_gone_, gone_ = 0;  // and of those no longer held
};

}  // namespace lemonroute::tiers
