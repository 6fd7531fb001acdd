// Whom to tell of generations that have just advanced: a few drawn members at once and in the next ticks,
// each device a bounded number of times. With fan-out 4 and 4 rounds a member is missed by all with a chance
// of about e^-16 (e^-11 where 30 of 100 datagrams are lost); what is missed is found by comparing digests,
// one member a second.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Gossip {
 public:
  explicit Gossip(std::uint64_t seed) : random_(seed) {}
  void advanced(NameId device) { rounds_[device] = rounds; }
  // Somebody has told it here too: one round less is needed, but the first one.
  void heard(NameId device);
  bool pending() const { return !rounds_.empty(); }
  // The devices to tell of in this round, those with most rounds left first; counts the round.
  std::vector<NameId> take(std::size_t most);
  std::vector<std::string> draw(const std::vector<std::string>& members, std::string_view but,
                                std::size_t most);

  static constexpr std::size_t fan_out = 4;
  static constexpr unsigned rounds = 4;

 private:
  std::map<NameId, unsigned> rounds_;
  std::minstd_rand random_;
};

}  // namespace lemonroute::tiers
