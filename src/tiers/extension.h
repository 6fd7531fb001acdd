/// \file
/// The cache tiers as an extension of the peers' protocol.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/fleet_view.h"
#include "peers/extension.h"
#include "tiers/epoch/epoch_gossip.h"
#include "tiers/exchange/promotion.h"
#include "tiers/snapshot/hint_map_builder.h"
#include "tiers/store/device_tier.h"

namespace lemonroute::tiers {

/// Shares between routers which devices hold which KV cache, from the device tier to the site tier to the
/// region tier. Does no I/O and reads no clock. docs/tiers-design.md describes the alternatives, the bounds
/// and the measurements.
class TiersExtension : public peers::Extension, public NodeObserver {
 public:
  /// `seed`: of the random choices of this process.
  TiersExtension(Options options, std::uint64_t seed);

  /// Records a prefill that this router saw. Like the other observer functions, called on the peers' thread.
  void on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                        Micros now) override;
  /// Records the cached tokens that a node itself counted, from the beginning of the prompt, when it
  /// prefilled the prompt. Hints of much more were false. Only these counts change the trust in other
  /// routers.
  void on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) override;
  /// Records a loss of the node's cache that this router noticed.
  void on_cache_lost(const Node& node, Micros now) override;
  /// Replaces the endpoint list.
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override;
  /// Ignored.
  void on_demand(const Demand&, Micros) override {}

  /// Returns the current hints, never null. Replaced at most every 200 ms, and every second while confidence
  /// decays.
  std::shared_ptr<const HintMap> map() const { return map_; }

  /// The topic of its payloads.
  peers::Topic topic() const override { return peers::Topic::tiers; }
  /// Applies a changed view of the members.
  void on_view_change(Micros now, const peers::View& view) override;
  /// Handles a payload; an unreadable one is counted and dropped.
  void receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) override;
  /// Runs the work that is due at `now`.
  void run_due(Micros now, peers::Outbox& out) override;
  /// When run_due() must be called next.
  Micros next_due() const override { return due_; }
  /// The state, for operators.
  nlohmann::json describe(Micros now) const override;

 private:
  void on_epoch_advanced(NameId device);
  void merge_epochs(const Payload& payload, Micros now);
  void gossip_epochs(Micros now, peers::Outbox& out);
  void send_digest(Micros now, peers::Outbox& out);
  void send_epochs(std::string_view to, const std::vector<std::pair<NameId, CacheEpoch>>& epochs,
                   peers::Outbox& out);
  void send_votes(Micros now, peers::Outbox& out);
  void request_entries(Micros now, peers::Outbox& out);
  void check_hints(KeyId key, NameId device, double tokens, Micros now,
                   std::map<NameId, double>& contradicted, std::set<NameId>& confirmed);

  SharedState state_;
  DeviceTier device_tier_;
  CacheTier site_, region_;
  Promotion promotion_;
  EpochGossip gossip_;
  ByteBudget vote_budget_, epoch_budget_;
  std::vector<std::string> members_;  // present members of all sites
  HintMapBuilder::Devices devices_;
  std::shared_ptr<const HintMap> map_;
  bool hints_changed_ = false;
  Micros due_{}, map_built_at_{}, digest_sent_at_{}, promoted_at_{}, swept_at_{}, requested_at_{};
  unsigned requests_sent_ = 0;
  NameId epoch_cursor_ = 0;
};

}  // namespace lemonroute::tiers
