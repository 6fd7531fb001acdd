// What one router may send to, derived from the answers of a pool's keepers. Free of I/O, told the time on
// the steady clock of its process.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pools/rights/keeper/keeper.h"

namespace lemonroute::pools {

// One pool at one router.
class Holder {
 public:
  // `keepers`: of the pool's home region.
  Holder(Terms terms, RegionId me, RegionId home, std::vector<std::string> keepers);

  struct Right {
    Micros until{};
    Micros started{};  // when the pool was taken over; 0: it never moved
  };
  // `sent`: when the question went out, read before. Answers of others than keepers are left out.
  void answered(const std::string& keeper, Micros sent, const Keeper::Answer& answer, Micros now);
  void learn(const Owned& known) { owned_.learn(known); }
  std::optional<Right> right(Micros now) const;

  const Owned& owned() const { return owned_; }
  RegionId home() const { return home_; }
  // A majority of the keepers said within the last lease that the owner has their promise.
  bool held_by_owner(Micros now) const;
  bool heard(Micros now) const;  // a majority of the keepers answered within the last lease

 private:
  struct Grant {
    std::string keeper;
    Ballot ballot;
    Micros until{};  // 0: it did not promise
    Micros heard{};
    bool active = false;
    bool answered = false;
  };
  bool majority(std::size_t count) const { return count > grants_.size() / 2; }
  Terms terms_;
  RegionId me_, home_;
  Owned owned_;
  std::vector<Grant> grants_;
  Ballot started_for_;  // the ballot under which `started_` was settled
  Micros started_{};
};

}  // namespace lemonroute::pools
