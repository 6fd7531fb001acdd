/// \file
/// The settings that decisions depend on, from the platform's configuration. Keys of the configuration that
/// no decision depends on, such as prices, have no field here.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// The settings of one request class.
struct ClassSettings {
  std::string name;                                   ///< identifies the class across settings updates
  Idempotency idempotency = Idempotency::idempotent;  ///< whether a request may run more than once
  RetryScope retry_scope =
      RetryScope::all;         ///< where it may run again, with Idempotency::idempotent_with_key
  Micros latency_objective{};  ///< time to first token (TTFT) for an empty prompt
  Micros deadline{};           ///< time from the request until the client gives up
  Micros retry_window{};       ///< how long an attempt with an idempotency key may be repeated
  Micros latency_objective_per_1000_tokens{};  ///< added for each 1,000 prompt tokens
  Micros inter_token_objective{};              ///< time per output token (TPOT)
  double objective_slack_factor = 0;           ///< factor on the expected latency, added to the objective
  double late_priority_weight = 0;             ///< priority weight of an answer later than its objective
  double priority_weight = 1;                  ///< priority weight of an answer within its objective
  bool streaming = false;                      ///< whether answers are streams of tokens
};

/// The settings of one tenant.
struct TenantSettings {
  std::string name;      ///< identifies the tenant across settings updates
  double quota_rps = 0;  ///< quota in requests per second over all routers; 0: none
  double share = 0;      ///< share of the fleet's capacity, 0 to 1
};

/// All settings of one router.
struct Settings {
  std::vector<ClassSettings> classes;           ///< by Request::class_index
  std::vector<TenantSettings> tenants;          ///< by Request::tenant_index
  std::vector<Role> role_by_kind;               ///< by machine kind
  std::vector<double> kv_cache_tokens_by_kind;  ///< by machine kind: tokens of KV cache
  std::vector<std::string> report_columns;      ///< names of the values of a load report, in order

  bool report_x0_is_memory = false;         ///< column x0 is the share of KV cache memory in use, 0 to 1
  bool report_x1_is_queued_tokens = false;  ///< column x1 is the prompt tokens queued, in thousands
  bool report_by_probe = false;             ///< load reports come with health checks only
  bool endpoint_list_is_polled = false;     ///< the endpoint list is polled instead of pushed
  bool decode_nodes_prefill = false;        ///< a decode node may prefill
  bool stream_resume_allowed = false;       ///< an interrupted stream may continue at another node
  bool reservation_allowed = false;         ///< capacity at a decode node may be reserved in advance
  bool cancellation_allowed = false;        ///< attempts without a first token may be cancelled
  bool probing_allowed = false;             ///< health checks may be sent
  bool hedging_allowed = false;             ///< two attempts of a request may be outstanding at once
  bool retry_after_allowed = false;         ///< rejections may carry a Retry-After
  bool retry_attempt_header = false;        ///< clients mark repeated requests

  std::uint32_t max_attempts = 1;        ///< per request, all stages together
  Micros max_retry_after{};              ///< upper bound of a Retry-After
  Micros connect_timeout{};              ///< time limit for connecting to a node
  Micros reservation_release_timeout{};  ///< time within which a reserved KV cache must be used or released
  Micros answer_slack{};                 ///< time after its deadline within which an answer still counts
  Micros poll_interval{};                ///< least time between two fetches of the endpoint list
  Micros slow_start_duration{};          ///< time from the start of a node until slow start ends
  Micros drain_grace{};         ///< time after the notice in which a draining node still accepts attempts
  Micros overload_window{};     ///< window over which the load of a node in slow start is summed
  Micros min_batch_interval{};  ///< resolution of timers: no event follows sooner
  double slow_start_initial_capacity = 1;  ///< capacity of a node at its start, against a warm node
  double overload_factor = 1;  ///< load against present capacity that overloads a node in slow start
  double over_quota_priority_weight = 1;  ///< factor on the priority weight of requests over their quota

  std::uint32_t router_index = 0;  ///< index of this router, from 0
  std::uint32_t router_count = 1;  ///< number of routers that share the nodes, including this one; at least 1
  std::uint32_t router_zone = 0;   ///< zone of this router
};

}  // namespace lemonroute
