/// \file
/// Events: the input of a Scheduler. The caller passes them in the order in which they happened.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// Zone of an endpoint for which the list states none. It is the zone of no other endpoint.
inline constexpr std::uint8_t unknown_zone = 0xff;
/// Cell of an endpoint for which the list states none. It is the cell of no other endpoint.
inline constexpr std::uint16_t unknown_cell = 0xffff;

/// One endpoint of the endpoint list.
struct Endpoint {
  EndpointId id = 0;      ///< never 0
  std::uint8_t zone = 0;  ///< zone, numbered as Settings::router_zone, or unknown_zone
  std::uint8_t kind =
      0;  ///< machine kind: index into Settings::role_by_kind and Settings::kv_cache_tokens_by_kind
  std::uint16_t cell = unknown_cell;           ///< cell: endpoints near each other
  EndpointState state = EndpointState::ready;  ///< state in the list, or as overridden by an operator
  float weight = 1;                            ///< weight in the list; no decision depends on it
  Micros started_at{};  ///< start of the node's process, on the Scheduler's clock; 0: long ago
};

/// The endpoint list, or a change of it.
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::full;  ///< which endpoints the update contains
  std::uint32_t version = 0;        ///< version of the list after the update; no decision depends on it
  std::vector<Endpoint> endpoints;  ///< in any order
};

/// What another router reports about a prompt's KV cache at an endpoint. It may be wrong: no decision may
/// rely on it, and the endpoint's own counts of cached tokens override it.
struct CacheHint {
  EndpointId endpoint = 0;  ///< endpoint that has the KV cache
  double tokens = 0;        ///< cached tokens, counted from the beginning of the prompt
  double confidence = 0;    ///< confidence in `tokens`, 0 to 1
};

/// Bits of Request::flags. The numbers are those of the simulator's wire format.
enum RequestFlag : std::uint8_t {
  has_expected_latency = 1,  ///< Request::expected_latency is valid
  repeated_by_client = 2,    ///< the client has sent the request before
  resumed_stream = 16,       ///< the client resumes an interrupted stream
};

/// A request that was accepted and must be answered.
struct Request {
  RequestId id = 0;                ///< not the id of any request that is still open
  std::uint16_t class_index = 0;   ///< index into Settings::classes
  std::uint16_t tenant_index = 0;  ///< index into Settings::tenants; beyond its end: unknown tenant
  Key session_key = 0;             ///< key of the session; 0: none
  Micros time_budget{};            ///< time from this event until the client gives up
  Micros expected_latency{};       ///< expected by the client; valid with RequestFlag::has_expected_latency
  Key shared_prefix_key = 0;       ///< key of the shared prefix; 0: none
  float prompt_tokens = 0;         ///< length of the prompt, including its shared prefix
  float shared_prefix_tokens = 0;  ///< length of the prefix that shared_prefix_key names
  /// Upper bound of the answer's length. 0: not stated, and the answer counts as empty.
  float max_output_tokens = 0;
  std::uint8_t flags = 0;                ///< bits of RequestFlag
  std::vector<CacheHint> cache_hints{};  ///< few entries; empty where routers exchange no hints
};

/// The first token of an attempt has arrived.
struct FirstTokenReceived {
  RequestId id = 0;           ///< request of the attempt
  EndpointId endpoint = 0;    ///< endpoint that the attempt was sent to
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
  Micros elapsed{};           ///< time since the attempt was sent
};

/// Result of reserving capacity for a request ahead of its attempt.
struct ReservationUpdate {
  RequestId id = 0;           ///< request of the ReserveCapacity action
  EndpointId endpoint = 0;    ///< endpoint of that action
  std::uint8_t kind = 0;      ///< 1: reserved, 2: not reserved
  float value = 0;            ///< value from the simulator's wire format; no decision depends on it
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
};

/// Value of AttemptCompleted::cached_tokens with Outcome::rejected_over_capacity if the decode node rejected
/// the attempt because the KV cache that it should fetch no longer exists.
inline constexpr std::uint32_t reservation_lost = 1;

/// An attempt has ended.
struct AttemptCompleted {
  RequestId id = 0;               ///< request of the attempt
  Outcome outcome = Outcome::ok;  ///< how the attempt ended
  /// Whether the request needs no further attempt: it is answered, or its client has disconnected.
  bool request_finished = false;
  Micros elapsed{};         ///< time since the attempt was sent; 0 where nothing was sent
  EndpointId endpoint = 0;  ///< endpoint chosen for the attempt
  /// Prompt tokens that a prefill found cached; for a rejected attempt, see reservation_lost.
  std::uint32_t cached_tokens = 0;
  std::uint16_t attempt = 0;       ///< index among the request's attempts, from 0
  std::vector<float> load_report;  ///< values in the order of Settings::report_columns; empty: no report
};

/// The client of a request has disconnected. The request needs no answer any more.
struct ClientDisconnected {
  RequestId id = 0;  ///< the request
};

/// A timer that a StartTimer action asked for has expired.
struct TimerFired {
  std::uint32_t timer_id = 0;  ///< StartTimer::timer_id
};

/// A health check has ended, or a load report has arrived outside an attempt.
struct HealthResult {
  EndpointId endpoint = 0;  ///< endpoint of the health check or load report
  Outcome outcome =
      Outcome::ok;   ///< Outcome::ok: healthy; any other value counts as a failure of the endpoint
  Micros elapsed{};  ///< time since the health check was sent
  std::vector<float> load_report;  ///< values in the order of Settings::report_columns; empty: no report
};

/// A message from another router.
struct PeerMessage {
  std::uint16_t from = 0;  ///< index of the sending router
  std::string payload;     ///< payload of the SendPeerMessage action
};

/// Another router has noticed that an endpoint has lost its KV cache.
struct CacheInvalidated {
  EndpointId endpoint = 0;  ///< endpoint that has lost its cached prefixes
};

/// Any event.
using Event =
    std::variant<EndpointListUpdate, Request, FirstTokenReceived, ReservationUpdate, AttemptCompleted,
                 ClientDisconnected, TimerFired, HealthResult, PeerMessage, CacheInvalidated>;

}  // namespace lemonroute
