/// \file
/// A cache tier above the device: the site tier or the region tier.
#pragma once

#include <unordered_map>

#include "tiers/exchange/shared_state.h"
#include "tiers/sharding/shard_collectors.h"
#include "tiers/store/advertised_entries.h"
#include "tiers/store/received_entries.h"
#include "tiers/store/vote_table.h"

namespace lemonroute::tiers {

/// Receives votes as a collector, advertises entries as the head of shards, and receives the entries that the
/// heads of other shards advertise.
class CacheTier {
 public:
  /// `state` must outlive this object; `max_keys` bounds the stored keys.
  CacheTier(SharedState& state, Tier tier, std::size_t max_keys);

  /// Applies a view; returns the shards whose collectors have changed.
  std::vector<std::size_t> update_view(const peers::View& view);
  /// Stores the votes of a contributor.
  void receive_votes(Micros now, NameId contributor, const Payload& payload);
  /// Stores advertised entries; returns whether hints have changed.
  bool receive_entries(Micros now, std::string_view from, const Payload& payload);
  /// Accepts a member's request for all entries that this router collects.
  void receive_request(Micros now, std::string_view from);
  /// Requests all entries from each head.
  void request_entries(Micros now, peers::Outbox& out);
  /// Expires, selects and advertises what is due; returns whether hints have changed.
  bool run(Micros now, peers::Outbox& out);
  /// Schedules a new selection for all keys after a cache epoch has advanced.
  void on_epoch_advanced() { select_all_ = true; }

  /// Payloads of votes that are still being filled, by collector.
  struct VoteBatch {
    std::unordered_map<std::string, PayloadEncoder> packers;  ///< by collector
  };
  /// Adds a vote of this router for each of the key's collectors. Stores it at once if this router is one of
  /// them; the open payloads are sent by `flush`.
  void vote(VoteBatch& batch, const CacheEntry& cache_entry, Micros now, ByteBudget& budget,
            peers::Outbox& out);
  /// Sends all payloads of the batch.
  void flush(VoteBatch& batch, ByteBudget& budget, peers::Outbox& out);

  /// Members and collectors of this tier.
  const ShardCollectors& shard_collectors() const { return shard_collectors_; }
  /// Votes that this router collects.
  const VoteTable& vote_table() const { return vote_table_; }
  /// Entries that this router advertises.
  const AdvertisedEntries& advertised() const { return advertised_; }
  /// Entries that hints are read from.
  const ReceivedEntries& received() const { return received_; }
  /// Entries dropped because their sender does not collect the shard.
  std::uint64_t non_collector_entries() const { return non_collector_entries_; }

 private:
  bool select_for(KeyId key, Micros now);
  void advertise(Micros now, peers::Outbox& out);
  void serve_requests(Micros now, peers::Outbox& out);
  const char* traffic_kind() const { return tier_ == Tier::site ? "site-rows" : "region-rows"; }
  SharedState& state_;
  Tier tier_;
  ShardCollectors shard_collectors_;
  VoteTable vote_table_;
  AdvertisedEntries advertised_;
  ReceivedEntries received_;
  ByteBudget push_budget_;
  struct Request {
    KeyId cursor = 0;
    Micros received_at{};
    bool open = true;
  };
  std::map<std::string, Request> requests_;  // by member
  Micros all_selected_at_{};
  bool select_all_ = false;
  std::uint64_t non_collector_entries_ = 0;
};

}  // namespace lemonroute::tiers
