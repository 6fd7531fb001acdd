// The map of kept state from device to site to region, as an extension on the datagrams between routers.
// docs/tiers-design.md has the ways weighed, the bounds and what was measured. No I/O, no clock.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/fleet_view.h"
#include "peers/extension.h"
#include "tiers/generation/gossip.h"
#include "tiers/share/uplift.h"
#include "tiers/snapshot/maker.h"
#include "tiers/store/device.h"

namespace lemonroute::tiers {

class Tiers : public peers::Extension, public NodeObserver {
 public:
  Tiers(Options options, std::uint64_t seed);

  // What this router sees while it serves, as a NodeObserver hears it; on the peers' thread.
  void on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                        Micros now) override;
  // What a node itself has counted as kept of a prompt, from its beginning, when it read it: hints that said
  // much more were wrong. The one thing that corrects trust in others.
  void on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) override;
  void on_cache_lost(const Node& node, Micros now) override;
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override;
  void on_demand(const Demand&, Micros) override {}

  // Never null. Another one at the most every 200 ms, and every second as what it says fades.
  std::shared_ptr<const Map> map() const { return map_; }

  peers::Topic topic() const override { return peers::Topic::tiers; }
  void on_view_change(Micros now, const peers::View& view) override;
  void receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) override;
  void run_due(Micros now, peers::Outbox& out) override;
  Micros next_due() const override { return due_; }
  nlohmann::json describe(Micros now) const override;

 private:
  void advanced(NameId device);
  void learn(const Payload& payload, Micros now);
  void gossip(Micros now, peers::Outbox& out);
  void compare(Micros now, peers::Outbox& out);
  void send_generations(std::string_view to, const std::vector<std::pair<NameId, Generation>>& generations,
                        peers::Outbox& out);
  void contribute(Micros now, peers::Outbox& out);
  void ask(Micros now, peers::Outbox& out);
  void judge(KeyId key, NameId device, double tokens, Micros now, std::map<NameId, double>& wrong,
             std::set<NameId>& right);

  Known known_;
  DeviceTier device_;
  Level site_, region_;
  Uplift uplift_;
  Gossip gossip_;
  Budget vote_budget_, generation_budget_;
  std::vector<std::string> members_;  // that are there, of all sites
  MapMaker::Devices devices_;
  std::shared_ptr<const Map> map_;
  bool changed_ = false;
  Micros due_{}, made_{}, compared_{}, uplifted_{}, swept_{}, asked_{};
  unsigned asks_ = 0;
  NameId generations_cursor_ = 0;
};

}  // namespace lemonroute::tiers
