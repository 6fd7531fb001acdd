/// \file
/// Identifiers, durations and enumerations that the decision module shares with the program that embeds it.
/// Performs no I/O and has no state.
#pragma once

#include <chrono>
#include <cstdint>

namespace lemonroute {

/// A duration, or a time on the caller's clock since the epoch of that clock.
using Micros = std::chrono::microseconds;

/// Identifies an endpoint while the endpoint list contains it. 0 means "no endpoint".
using EndpointId = std::uint32_t;

/// Identifies an open request within one router.
using RequestId = std::uint64_t;

/// Identifies a session or a shared prompt prefix; equal texts have equal keys. 0 means "none".
using Key = std::uint64_t;

/// Whether a request that may have run already may be sent again.
enum class Idempotency {
  idempotent,           ///< it may run any number of times
  idempotent_with_key,  ///< it may run again within the retry window and retry scope of its class
  not_idempotent,       ///< it must not run twice
};

/// Where an attempt with an idempotency key may be repeated, relative to the node that may have run it.
enum class RetryScope {
  all,   ///< at any node
  zone,  ///< at nodes in the same zone
  cell,  ///< at nodes in the same cell
};

/// Which stages of a request a node serves.
enum class Role {
  prefill,  ///< computes the KV cache of the prompt and holds it
  decode,   ///< fetches a KV cache and streams the answer
  mixed,    ///< serves both stages
};

/// How an attempt or a health check ended. The numbers are those of the simulator's wire format.
enum class Outcome : std::uint16_t {
  ok = 200,                      ///< the answer is complete
  prefill_done = 210,            ///< the prefill is done and its KV cache is reserved at the node
  timeout = 408,                 ///< no result within the attempt's timeout
  not_applicable = 409,          ///< nothing was sent, or the node cannot serve the request
  rejected_over_capacity = 429,  ///< the node did not admit the attempt; it has not run
  cancelled = 444,               ///< cancelled by the router
  error = 502,                   ///< the node answered with an error
  reset = 520,                   ///< the connection broke after the attempt was sent
  connect_failed = 521,          ///< the attempt never reached the node
};

/// The state of an endpoint in the endpoint list. The numbers are those of the simulator's wire format.
enum class EndpointState : std::uint8_t {
  removed = 0,   ///< no longer in the list
  ready = 1,     ///< accepts new attempts
  draining = 2,  ///< finishes its attempts and accepts no new ones
};

/// How an endpoint list update relates to the previous list. The numbers are those of the simulator's wire
/// format.
enum class EndpointListKind : std::uint8_t {
  incremental = 0,   ///< contains only endpoints that changed
  full = 1,          ///< contains every endpoint
  from_cache = 2,    ///< contains every endpoint, as last stored; may be out of date
  fetch_failed = 3,  ///< the list could not be fetched; contains nothing
};

}  // namespace lemonroute
