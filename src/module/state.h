// The one state that all decisions read and change: settings, clock, nodes, requests and their attempts.
// Work is counted in tokens of prompt, a duration that is a double in microseconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "estimation/learned.h"
#include "estimation/openings.h"
#include "estimation/prefix_table.h"
#include "estimation/rates.h"
#include "lemonroute/scheduler.h"

namespace lemonroute::decisions {

using estimation::usual_sample_weight, estimation::DecayingAverage, estimation::WeightedMean;
using estimation::from_microseconds, estimation::hash64, estimation::clamp_reported_value, estimation::hash_to_unit_interval, estimation::to_microseconds, std::chrono::seconds;

// Tuned values, here and in the other files. What depends on the deployment comes from its settings instead.
constexpr double load_tolerance = 0.12;  // a decode node this much above the least load still counts as least
constexpr double full_load = 0.9;       // share of KV cache memory from which a decode node looks full

struct AttemptRef {
  RequestId id;
  std::uint16_t attempt;
};

struct NodeState {
  Endpoint endpoint{};
  Role role = Role::mixed;
  double kv_cache_tokens = 0;        // tokens of KV cache
  DecayingAverage prefill_rate{};   // microseconds a token, from prefill latencies
  DecayingAverage latency_ratio{};           // latency against the pool's norm, as a decode node
  DecayingAverage other_routers_load{};         // share of memory held here for other routers, by report
  DecayingAverage other_routers_queued_tokens{};  // prompt tokens queued here for other routers, by report
  double mixed_prefill_backlog = 0;    // as a mixed node: time owed to prefill, drained by `mixed_share`
  double failure_ratio = 0;       // share of recent attempts that failed, fading
  Micros mixed_prefill_backlog_at{}, failure_ratio_at{}, last_prefill_done{}, cache_valid_since{};
  int cache_misses_in_a_row = 0;  // cached counts far below credit, in a row
  std::vector<AttemptRef> outstanding{};
  estimation::SlidingWindowSum sent_work{};                                    // within the slow-start window
  estimation::DecayingRate work_rate{};                               // of what it took
  bool is_ready() const { return endpoint.state == EndpointState::ready; }  // as far as this router knows
  double memory_or_default() const { return kv_cache_tokens > 0 ? kv_cache_tokens : 1e5; }
};

struct Attempt {
  EndpointId endpoint = 0;
  Micros sent_at{}, first_token_at{};
  double queue_ahead = 0, other_routers_queue = 0, uncached_tokens = 0, expected_cached_tokens = 0, overdue_after = 1;
  bool prefill = false, outstanding = true, started = false, cancelled = false;
};

struct RequestState {  // a request under way
  Request request{};
  std::shared_ptr<const ClassSettings> class_settings{};  // these two from the request's beginning
  std::uint32_t max_attempts = 1;
  double prompt_tokens = 0, shared_prefix_tokens = 0;
  Micros deadline{};
  double latency_objective = 0;  // for the time to first token
  bool over_quota = false, ended = false, has_reservation = false;
  EndpointId reservation_endpoint = 0;               // the prefill node where the KV cache waits, while held
  std::optional<std::size_t> first_executed_attempt{};  // first attempt that may have run
  std::vector<Attempt> attempts{};
  auto outstanding_attempts() const { return std::ranges::count_if(attempts, &Attempt::outstanding); }
  bool was_sent_to(EndpointId host) const { return std::ranges::count(attempts, host, &Attempt::endpoint) > 0; }
};

struct PoolStatistics {  // what is usual among the listed nodes of a role
  double ready_nodes = 0, ejected_nodes = 0, prefill_rate = 0, other_routers_load = 0, other_routers_queued_tokens = 0, warm_node_work_rate = 0, mean_prefill_wait = 0;
};

template <class Map>
auto* lookup(Map& map, const typename Map::key_type& key) {  // null where there is none
  const auto at = map.find(key);
  return at == map.end() ? nullptr : &at->second;
}

struct SchedulerState {
  // At the start and at any time later.
  void apply_settings(Settings from) {
    std::map<std::string, estimation::TokenBucket> kept;
    for (std::size_t i = 0; i < quota_buckets.size(); ++i) kept[settings.tenants[i].name] = quota_buckets[i];
    auto work = std::exchange(work_by_class, {});
    settings = std::move(from);
    classes.clear();
    memory_duration = Micros(0);
    max_priority_weight = 0;
    for (const auto& c : settings.classes) {
      classes.push_back(std::make_shared<const ClassSettings>(c));
      if (work.count(c.name)) work_by_class[c.name] = work[c.name];
      memory_duration = std::max(memory_duration, c.deadline);
      max_priority_weight = std::max(max_priority_weight, c.priority_weight);
    }
    if (memory_duration <= Micros(0)) memory_duration = seconds(10);
    quota_buckets.clear();
    for (const auto& tenant : settings.tenants) quota_buckets.push_back(kept[tenant.name]);
    report_column_index.clear();
    for (std::size_t i = 0; i < settings.report_columns.size(); ++i) report_column_index[settings.report_columns[i]] = i;
    for (auto& [id, node] : nodes) apply_kind(node);
  }
  void apply_kind(NodeState& node) const {
    const auto kind = node.endpoint.kind;
    node.role = kind < settings.kind_role.size() ? settings.kind_role[kind] : Role::mixed;
    node.kv_cache_tokens = kind < settings.kind_memory.size() ? settings.kind_memory[kind] : 0;
  }

  std::shared_ptr<const ClassSettings> class_settings(std::uint16_t cls) const {
    static const auto unknown = std::make_shared<const ClassSettings>(
        ClassSettings{"", Idempotency::not_idempotent, RetryScope::cell, seconds(1), seconds(1), {}, {}, {}, 0, 0, 1, true});
    return cls < classes.size() ? classes[cls] : unknown;
  }
  void emit(Action action) { actions->push_back(std::move(action)); }
  const Attempt& attempt(const AttemptRef& ref) const { return requests.at(ref.id).attempts[ref.attempt]; }
  Role role_of_endpoint(EndpointId id) const {
    const NodeState* node = lookup(nodes, id);
    return node ? node->role : Role::mixed;
  }
  double estimated_work(const RequestState& job) { return std::max(work_by_class[job.class_settings->name].value, job.prompt_tokens); }
  const PoolStatistics& pool_statistics(Role role) const { return pools.at(role); }  // by `survey`, which comes before each choice

  Settings settings;
  std::vector<std::shared_ptr<const ClassSettings>> classes;
  Micros now{}, first_event_at{};  // since this process's first event
  std::vector<Action>* actions = nullptr;
  Micros memory_duration{};  // how long what was learned of a node's health lasts: the longest deadline
  double max_priority_weight = 0;
  std::map<std::string, std::size_t> report_column_index;
  std::map<EndpointId, NodeState> nodes;
  std::map<RequestId, RequestState> requests;
  estimation::PrefixIndex session_prefixes, shared_prefixes;
  estimation::PrefixPopularity prefix_popularity;
  std::map<std::uint32_t, AttemptRef> timers;
  std::uint32_t next_timer_id = 1;
  std::vector<estimation::TokenBucket> quota_buckets;  // by tenant
  estimation::DecayingRate arrival_rate;               // work that comes, served or not
  DecayingAverage uncached_share{1, {}, true};         // of prompts, the part that was not cached
  DecayingAverage time_to_first_token;                      // the decode nodes' usual time to a first token
  DecayingAverage decode_rejection_ratio{0, {}, true};         // of attempts at decode nodes, the part that full ones turn away
  std::map<std::string, DecayingAverage> work_by_class;
  DecayingAverage usual_prompt_tokens;
  std::map<Role, PoolStatistics> pools;
  std::map<Role, DecayingAverage> unreported_queued_tokens;
  std::map<Role, estimation::RunningMedian> prefill_rate_by_role;  // microseconds a token
  DecayingAverage last_prefill_rate;                             // of whatever role did a prefill last
  bool load_reported = false, pool_statistics_current = false;      // any decode node's load; `pools`, in this event
  double mixed_prefill_work = 0;                     // this router's prefill at mixed nodes, fading
  Micros mixed_prefill_work_at{};
  DecayingAverage prefill_in_flight{0, {}, true};  // tokens that this router has in prefill, in the mean
  int list_fetch_failures = 0;
  std::function<void(const Choice&)> choice_observer;
  Choice choice;
};

// Places are never held ahead, and each router decides by what it sees itself.
inline void handle(SchedulerState&, const auto&) {}

}  // namespace lemonroute::decisions
