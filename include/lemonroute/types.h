/// \file
/// Identifiers, durations and enumerations that the decision module shares with the program around it.
/// Free of I/O and of state.
#pragma once

#include <chrono>
#include <cstdint>

namespace lemonroute {

/// A duration, or a time on the caller's clock. Times are counted from the clock's own epoch.
using Micros = std::chrono::microseconds;

/// Identifies an endpoint for as long as the endpoint list names it. 0 means "no endpoint".
using EndpointId = std::uint32_t;

/// Identifies an open request within one router.
using RequestId = std::uint64_t;

/// Identifies a session or a shared prompt prefix; equal texts have equal keys. 0 means "none".
using Key = std::uint64_t;

/// Whether a request that may have run may be sent again.
enum class Idempotency {
  idempotent,           ///< may run any number of times
  idempotent_with_key,  ///< may run again within the class's retry window and retry scope
  not_idempotent,       ///< must not run twice
};

/// Where an attempt with an idempotency key may be repeated, seen from the node that may have run it.
enum class RetryScope {
  all,   ///< at any node
  zone,  ///< at nodes of the same zone
  cell,  ///< at nodes of the same cell
};

/// Which stage of a request a node serves.
enum class Role {
  prefill,  ///< reads the prompt and holds its KV cache
  decode,   ///< fetches a KV cache and streams the answer
  mixed,    ///< serves both stages of a request
};

/// How an attempt, or a health check, ended. The numbers are those of the simulator's wire.
enum class Outcome : std::uint16_t {
  ok = 200,                      ///< the answer is complete
  prefill_done = 210,            ///< the prompt was read; its KV cache is reserved at the node
  timeout = 408,                 ///< no result within the attempt's time
  not_applicable = 409,          ///< nothing was sent, or the node can't use the request
  rejected_over_capacity = 429,  ///< the node did not admit the attempt; it has not run
  cancelled = 444,               ///< cancelled by the router
  error = 502,                   ///< the node answered with an error
  reset = 520,                   ///< the connection broke after the attempt was sent
  connect_failed = 521,          ///< the attempt never reached the node
};

/// What the endpoint list says of an endpoint. The numbers are those of the simulator's wire.
enum class EndpointState : std::uint8_t {
  removed = 0,   ///< not in the list any more
  ready = 1,     ///< takes new attempts
  draining = 2,  ///< finishes its attempts and takes no new ones
};

/// How an endpoint list update relates to the list before it. The numbers are those of the simulator's wire.
enum class EndpointListKind : std::uint8_t {
  incremental = 0,   ///< names only endpoints that changed
  full = 1,          ///< names every endpoint
  from_cache = 2,    ///< names every endpoint, as last stored; may be out of date
  fetch_failed = 3,  ///< the list could not be fetched; names nothing
};

}  // namespace lemonroute
