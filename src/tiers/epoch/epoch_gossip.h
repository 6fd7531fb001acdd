/// \file
/// Gossip of cache epochs that have just advanced.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// Selects the devices and members of each gossip round. Every advanced epoch goes to a few random members at
/// once and again in the next ticks. With fan-out 4 and 4 rounds, all senders miss a given member with a
/// probability of about e^-16 (e^-11 with 30% datagram loss); the exchange of digests with one member a
/// second finds what is missing.
class EpochGossip {
 public:
  /// `seed`: of the choice of members.
  explicit EpochGossip(std::uint64_t seed) : random_(seed) {}
  /// Schedules all rounds for a device.
  void add(NameId device) { rounds_left_[device] = max_rounds; }
  /// Drops one of the remaining rounds because a peer has sent the same epoch, unless none was sent yet.
  void record_duplicate(NameId device);
  /// Whether any round is left.
  bool pending() const { return !rounds_left_.empty(); }
  /// Returns the devices of the next round, those with most rounds left first, and counts the round.
  std::vector<NameId> take_round(std::size_t max_count);
  /// Returns up to `max_count` different random members other than `excluded`.
  std::vector<std::string> draw_members(const std::vector<std::string>& members, std::string_view excluded,
                                        std::size_t max_count);

  static constexpr std::size_t fan_out = 4;  ///< members per round
  static constexpr unsigned max_rounds = 4;  ///< rounds per advanced epoch

 private:
  std::map<NameId, unsigned> rounds_left_;
  std::minstd_rand random_;
};

}  // namespace lemonroute::tiers
