/// \file
/// The settings that decisions depend on, as they are read from the platform's configuration. Keys of that
/// configuration that no decision depends on (prices, parts of a score) have no field here.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// The terms of one request class.
struct ClassSettings {
  std::string name;  ///< averages over the requests of a class are kept by it
  Idempotency idempotency = Idempotency::idempotent;  ///< whether a request may run again
  RetryScope retry_scope = RetryScope::all;           ///< where, with Idempotency::idempotent_with_key
  Micros latency_objective{};  ///< time to first token (TTFT), without the part that grows with the prompt
  Micros deadline{};           ///< the client gives up after it, counted from its request
  Micros retry_window{};       ///< an attempt with an idempotency key may be repeated for so long
  Micros latency_objective_per_1000_tokens{};  ///< added to the latency objective, by prompt tokens
  Micros inter_token_objective{};              ///< time per output token (TPOT)
  double objective_slack_factor = 0;           ///< part of the expected latency added to the objective
  double late_priority_weight = 0;             ///< priority weight of an answer after its objective
  double priority_weight = 1;                  ///< relative value of an answer in time
  bool streaming = false;                      ///< answers are streams of tokens
};

/// The terms of one tenant.
struct TenantSettings {
  std::string name;      ///< what is used of a quota is kept by it
  double quota_rps = 0;  ///< requests per second over all routers; 0: no quota
  double share = 0;      ///< share of the fleet's capacity, 0 to 1
};

/// All settings of one router.
struct Settings {
  std::vector<ClassSettings> classes;       ///< by Request::class_index
  std::vector<TenantSettings> tenants;      ///< by Request::tenant_index
  std::vector<Role> kind_role;              ///< by machine kind
  std::vector<double> kind_memory;          ///< by machine kind: tokens of KV cache
  std::vector<std::string> report_columns;  ///< names of a load report's values, in their order

  bool report_x0_is_memory = false;         ///< column x0 is the share of KV cache memory in use, 0 to 1
  bool report_x1_is_queued_tokens = false;  ///< column x1 is the prompt tokens queued, in thousands
  bool report_by_probe = false;             ///< load reports come with health checks only
  bool discovery_on_request = false;        ///< the endpoint list is polled, not pushed
  bool decode_nodes_prefill = false;        ///< a decode node may read a prompt itself
  bool stream_resume_allowed = false;       ///< a broken stream may go on at another node
  bool reservation_allowed = false;         ///< capacity at a decode node may be reserved ahead
  bool cancellation_allowed = false;        ///< attempts that have not begun to answer may be cancelled
  bool probing_allowed = false;             ///< health checks may be sent
  bool hedging_allowed = false;             ///< two attempts of a request may be out at once
  bool retry_after_allowed = false;         ///< rejections may carry a Retry-After
  bool retry_attempt_header = false;        ///< clients mark requests that they repeat

  std::uint32_t max_attempts = 1;          ///< per request
  Micros max_retry_after{};                ///< upper bound of a Retry-After
  Micros connect_timeout{};                ///< of a connection to a node
  Micros reservation_release_timeout{};    ///< a reserved KV cache is used or released within it
  Micros answer_slack{};                   ///< an answer so much after its deadline still counts as given
  Micros poll_interval{};                  ///< least time between two fetches of the endpoint list
  Micros slow_start_duration{};            ///< a node that has started is in slow start for so long
  Micros drain_grace{};                    ///< attempts may begin at a draining node for so long after notice
  Micros overload_window{};                ///< window in which the load of a node in slow start is counted
  Micros min_batch_interval{};             ///< resolution of timers: no event comes sooner than this
  double slow_start_initial_capacity = 1;  ///< capacity of a node that has just started, against a warm one
  double overload_factor = 1;              ///< load of a node in slow start beyond which it collapses
  double over_quota_priority_weight = 1;   ///< factor on the priority weight of requests over their quota

  std::uint32_t router_index = 0;  ///< of this router, from 0
  std::uint32_t router_count = 1;  ///< routers that share the nodes, this one included; at least 1
  std::uint32_t router_zone = 0;   ///< zone of this router
};

}  // namespace lemonroute
