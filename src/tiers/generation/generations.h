// The generations of all devices as far as they are known here: from the own list, from what this router
// noticed, and from what others say. Bounded; the devices of the own list always have a place.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "tiers/generation/generation.h"
#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Generations {
 public:
  Generations(const Names& names, unsigned lane, std::size_t most)
      : names_(names), lane_(lane), most_(most) {}

  // Each returns whether the device's generation has advanced.
  bool listed(NameId device, std::uint64_t start, Micros now);
  bool lost(NameId device,
            Micros now);  // this router noticed. Heard or noticed already within 2 s: the same loss
  bool told(NameId device, const Generation& generation, Micros now);
  void unlist_all();  // before the next whole list

  const Generation* find(NameId device) const;
  // Whether what was seen in that generation still counts. A generation ahead of the one known here does not:
  // only who knows a device by its list can give hints for it, and hears of the generation with the hint.
  bool holds(NameId device, const Generation& generation) const;

  // When the core is to let its own credit fall, because others told of a loss; 0: never. Guards against a
  // liar with the right key: at most one each 10 s for a device, 16 and then one a second for all, and none
  // for 5 min once two of them were disproved by nodes' own counts.
  Micros void_since(NameId device) const;
  void disproved(NameId device, Micros now);
  bool void_lately(NameId device, Micros now) const;  // told, and the core did not notice itself

  std::uint64_t digest() const { return digest_; }  // the same where all generations are
  std::size_t size() const { return all_.size(); }
  std::vector<std::pair<NameId, Generation>> slice(NameId& cursor,
                                                   std::size_t most) const;  // goes on where it ended

  struct Counts {
    std::uint64_t advanced = 0, told_voids = 0, held_back = 0, disproved = 0, refused = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Known {
    Generation generation;
    std::optional<std::uint64_t> listed;  // by the own list, now
    Micros advanced{}, void_since{};
  };
  Known* place(NameId device, bool listed);
  bool set(NameId device, Known& known, const Generation& generation, Micros now);
  void void_told(Known& known, Micros now);
  Names names_;
  unsigned lane_;
  std::size_t most_;
  std::unordered_map<NameId, Known> all_;
  std::uint64_t digest_ = 0;
  double allowance_ = 16;
  Micros allowed_at_{}, first_{}, doubted_until_{};
  bool begun_ = false;
  unsigned disproofs_ = 0;
  Counts counts_;
};

}  // namespace lemonroute::tiers
