// Migration of pools between the routers' regions: the leases that this router's region holds, the grants
// that this router gives as a grantor, and the migrations that it plans. The messages travel in the datagrams
// of peers::Agent; docs/pools-design.md compares the alternatives and states the bounds.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/fleet_view.h"
#include "peers/extension.h"
#include "pools/demand/demand_sum.h"
#include "pools/extension/planning.h"
#include "pools/extension/sent_requests.h"
#include "pools/leases/holder/lease_holder.h"
#include "pools/leases/lease_snapshot.h"
#include "pools/migration/migration.h"
#include "pools/wire/wire.h"

namespace lemonroute::pools {

/// The extension of peers::Agent that leases pools.
///
/// All times are those of the core: Unix time at the start of the process, and steady since then. The serving
/// loop and this object must use the same clock of one process, and the `now` of each call of `receive` must
/// be read after the datagram has arrived.
class PoolsExtension : public peers::Extension {
 public:
  /// What does not change while the process runs.
  struct Options {
    Settings settings;                   ///< must be enabled
    std::string name,                    ///< name of this router
        site;                            ///< site of this router
    std::set<std::string> decode_kinds;  ///< kinds of nodes that decode and do not prefill
    Micros warmup{};                     ///< `cold_for` of the scheduler's settings
    std::uint64_t start = 0;             ///< start of this process, as the agent has it
  };
  /// `seed`: of nonces and of the identifier of this process in ballots.
  PoolsExtension(Options options, std::uint64_t seed);

  /// Takes a new list of nodes.
  void on_endpoints(const std::vector<Node>& nodes, Micros now);
  /// Takes what this router's clients have asked of the decode nodes since the last call.
  void on_demand(const NodeObserver::Demand& seen, Micros now);
  /// Switches whether this process answers as a grantor; initially it does. It must be off while another
  /// process of the same name may answer. When it is switched on again, the grantor starts without memory.
  void enable_grantor(bool enabled, Micros now);

  /// The current leases.
  std::shared_ptr<const LeaseSnapshot> lease_snapshot() const { return lease_snapshot_; }
  /// Grows with each new lease_snapshot().
  std::uint64_t version() const { return version_; }

  /// The topic of its payloads.
  peers::Topic topic() const override { return peers::Topic::pools; }
  /// Applies a changed view of the members.
  void on_view_change(Micros now, const peers::View& view) override;
  /// Handles a payload; an unreadable one is counted and dropped.
  void receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) override;
  /// Runs the work that is due at `now`.
  void run_due(Micros now, peers::Outbox& out) override;
  /// When run_due() must be called next.
  Micros next_due() const override;
  /// The state, for operators.
  nlohmann::json describe(Micros now) const override;

 private:
  struct Pool {
    LeaseHolder holder;
    Migration migration;
  };
  struct Region {
    std::string name;
    const RegionSettings* settings;
    Micros blocked_until{};  // no pool is lent there, because the last one had to be returned home
  };
  struct Counts {
    std::uint64_t unreadable = 0, other_settings = 0, wrong_region = 0, unsolicited = 0, proposed = 0,
                  returned = 0;
  };

  std::optional<RegionId> region_of(const std::string& site) const;
  std::optional<RegionId> region_of_member(std::string_view name) const;
  std::size_t count_routers(RegionId region) const;
  bool is_planner() const;  // this router proposes for its region
  void request_leases(Micros now, peers::Outbox& out);
  void send_demand(Micros now, peers::Outbox& out);
  void handle(const wire::LeaseRequest& ask, std::string_view from, Micros now, peers::Outbox& out);
  void handle(const wire::LeaseAnswer& grant, std::string_view from, Micros now, peers::Outbox& out);
  void handle(const wire::Proposal& propose, std::string_view from, Micros now, peers::Outbox& out);
  void handle(const DemandReport& report, std::string_view from, Micros now, peers::Outbox& out);
  bool is_grantor_of(const PoolName& pool) const;
  void update_migration(Pool& pool, Micros now);
  void make_plan(Micros now);
  void send_proposals(Micros now, peers::Outbox& out);
  void update_snapshot(Micros now);

  Options options_;
  std::vector<Region> regions_;
  std::optional<RegionId> own_region_;
  std::shared_ptr<const LeaseSnapshot::Common> snapshot_common_;
  Planning planning_;
  LocalDemand local_demand_;
  DemandSum demand_sum_;
  SentRequests sent_requests_;
  std::optional<Grantor> grantor_;  // set if this router is a grantor
  bool grantor_enabled_ = true, replaced_ = false, started_ = false;
  std::uint64_t process_id_;   // identifies this process in its ballots
  std::uint64_t fingerprint_;  // of the settings
  peers::View view_;
  Inventory inventory_;
  std::map<PoolName, Pool> pools_;  // those that may migrate
  planner::Plan plan_;
  std::vector<RegionTarget> wishes_;
  Counts counts_;
  Micros next_request_at_{}, next_plan_at_{};
  std::shared_ptr<const LeaseSnapshot> lease_snapshot_;
  std::uint64_t version_ = 0;
};

}  // namespace lemonroute::pools
