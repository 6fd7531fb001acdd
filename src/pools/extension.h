// Pools among routers: what this one may send to, what it keeps for its region, and the moves that it plans.
// Rides on the datagrams of peers::Agent; docs/pools-design.md has the ways weighed and the bounds.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/fleet_view.h"
#include "peers/extension.h"
#include "pools/demand/sum.h"
#include "pools/extension/planning.h"
#include "pools/extension/questions.h"
#include "pools/move/move.h"
#include "pools/rights/holder/holder.h"
#include "pools/rights/rights.h"
#include "pools/wire/wire.h"

namespace lemonroute::pools {

class Pools : public peers::Extension {
 public:
  struct Options {
    Settings settings;              // on
    std::string name, site;         // this router's
    std::set<std::string> writers;  // kinds of nodes that are writers, and no readers
    Micros cold_for{};              // as in the module's settings
    std::uint64_t start = 0;        // of this process, as the agent has it
  };
  // All times are the core's: Unix time at the start, and steady since. Danger: the serving loop and this
  // must be given the same clock of one process, and each `now` of receive must be read after the datagram
  // has come.
  Pools(Options options, std::uint64_t seed);

  void on_endpoints(const std::vector<Node>& nodes, Micros now);
  void on_demand(const NodeObserver::Demand& seen, Micros now);
  // Whether this process answers as keeper. On from the start on. Off while another process of the same name
  // may answer; once on again it begins without memory.
  void keep(bool on, Micros now);

  std::shared_ptr<const Rights> rights() const { return rights_; }
  std::uint64_t version() const { return version_; }  // grows with each other rights()

  peers::Topic topic() const override { return peers::Topic::pools; }
  void on_view_change(Micros now, const peers::View& view) override;
  void receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) override;
  void run_due(Micros now, peers::Outbox& out) override;
  Micros next_due() const override;
  nlohmann::json describe(Micros now) const override;

 private:
  struct Pool {
    Holder holder;
    Move move;
  };
  struct Region {
    std::string name;
    const RegionSettings* settings;
    Micros blocked_until{};  // no pool is lent there: the last one had to be taken back
  };
  struct Counts {
    std::uint64_t unreadable = 0, other_settings = 0, strangers = 0, unasked = 0, proposed = 0, undone = 0;
  };

  std::optional<RegionId> region_of(const std::string& site) const;
  std::optional<RegionId> region_of_member(std::string_view name) const;
  std::size_t routers_of(RegionId region) const;
  bool plans() const;  // this router proposes for its region
  void ask_all(Micros now, peers::Outbox& out);
  void tell_demand(Micros now, peers::Outbox& out);
  void take(const wire::Ask& ask, std::string_view from, Micros now, peers::Outbox& out);
  void take(const wire::Grant& grant, std::string_view from, Micros now, peers::Outbox& out);
  void take(const wire::Propose& propose, std::string_view from, Micros now, peers::Outbox& out);
  void take(const Report& report, std::string_view from, Micros now, peers::Outbox& out);
  bool kept_here(const PoolName& pool) const;
  void follow(Pool& pool, Micros now);
  void make_plan(Micros now);
  void propose(Micros now, peers::Outbox& out);
  void refresh(Micros now);

  Options options_;
  std::vector<Region> regions_;
  std::optional<RegionId> me_;
  std::shared_ptr<const Rights::Frame> frame_;
  Planning planning_;
  Own own_;
  Sum sum_;
  Questions questions_;
  std::optional<Keeper> keeper_;  // where this router is one
  bool keeps_ = true, replaced_ = false, started_ = false;
  std::uint64_t by_;    // in this process's ballots
  std::uint64_t mark_;  // of the settings
  peers::View view_;
  Inventory stock_;
  std::map<PoolName, Pool> pools_;  // that may move
  planner::Plan plan_;
  std::vector<Wish> wishes_;
  Counts counts_;
  Micros asks_at_{}, plans_at_{};
  std::shared_ptr<const Rights> rights_;
  std::uint64_t version_ = 0;
};

}  // namespace lemonroute::pools
