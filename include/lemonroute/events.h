/// \file
/// Events: everything that a Scheduler is told. The caller puts them in the order in which they happened.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// One endpoint of the endpoint list.
struct Endpoint {
  EndpointId id = 0;       ///< never 0
  std::uint8_t zone = 0;   ///< zone; Settings::router_zone counts the same
  std::uint8_t kind = 0;   ///< machine kind: index into Settings::kind_role and Settings::kind_memory
  std::uint16_t cell = 0;  ///< group of endpoints near each other; 0 where the list states none
  EndpointState state = EndpointState::ready;  ///< as listed, or as an operator has overridden it
  float weight = 1;                            ///< as listed; no decision depends on it
  Micros started_at{};  ///< start of its process, on the Scheduler's clock; 0: long ago
};

/// The endpoint list, or a change of it.
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::full;  ///< which endpoints the update names
  std::uint32_t version = 0;        ///< of the list after the update; no decision depends on it
  std::vector<Endpoint> endpoints;  ///< in any order
};

/// What other routers say of a prompt's KV cache at an endpoint. No decision may depend on its being true;
/// the endpoint's own counts of cached tokens correct it.
struct CacheHint {
  EndpointId endpoint = 0;  ///< that holds the KV cache
  double tokens = 0;        ///< prompt tokens cached, from the prompt's beginning
  double confidence = 0;    ///< 0 to 1
};

/// Bits of Request::flags. The numbers are those of the simulator's wire.
enum RequestFlag : std::uint8_t {
  has_expected_latency = 1,  ///< Request::expected_latency is valid
  repeated_by_client = 2,    ///< the client has sent the request before
  resumed_stream = 16,       ///< the client resumes a stream that broke
};

/// A request that was taken and has to be answered.
struct Request {
  RequestId id = 0;                ///< not the id of any request that is still open
  std::uint16_t class_index = 0;   ///< into Settings::classes
  std::uint16_t tenant_index = 0;  ///< into Settings::tenants; beyond its end: unknown tenant
  Key session_key = 0;             ///< 0: belongs to no session
  Micros time_budget{};            ///< the client gives up after it, counted from this event
  Micros expected_latency{};       ///< that the client expects; valid with RequestFlag::has_expected_latency
  Key shared_prefix_key = 0;       ///< 0: shares no known prefix
  float prompt_tokens = 0;         ///< length of the prompt, its shared prefix included
  float shared_prefix_tokens = 0;  ///< length of the prefix that shared_prefix_key names
  /// Upper bound of the answer's length. 0: not stated; the answer then counts as empty.
  float max_output_tokens = 0;
  std::uint8_t flags = 0;                ///< bits of RequestFlag
  std::vector<CacheHint> cache_hints{};  ///< a few; empty where routers share nothing
};

/// An attempt's first token has arrived.
struct FirstTokenReceived {
  RequestId id = 0;           ///< request of the attempt
  EndpointId endpoint = 0;    ///< that the attempt was sent to
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
  Micros elapsed{};           ///< since the attempt was sent
};

/// What became of capacity that was reserved for a request ahead of its attempt.
struct ReservationUpdate {
  RequestId id = 0;           ///< request of the ReserveCapacity action
  EndpointId endpoint = 0;    ///< endpoint of that action
  std::uint8_t kind = 0;      ///< 1: reserved, 2: not reserved
  float value = 0;            ///< of the simulator's wire; no decision depends on it
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
};

/// Value of AttemptCompleted::cached_tokens that comes with Outcome::rejected_over_capacity where the reason
/// is that the KV cache to decode from does not exist any more.
inline constexpr std::uint32_t reservation_lost = 1;

/// An attempt has ended.
struct AttemptCompleted {
  RequestId id = 0;               ///< request of the attempt
  Outcome outcome = Outcome::ok;  ///< how the attempt ended
  /// The request needs no further attempt: it is answered, or its client left.
  bool request_finished = false;
  Micros elapsed{};         ///< since the attempt was sent; 0 where nothing was sent
  EndpointId endpoint = 0;  ///< that the attempt was for
  /// Prompt tokens that a prefill found cached; see reservation_lost for a rejected attempt.
  std::uint32_t cached_tokens = 0;
  std::uint16_t attempt = 0;       ///< index among the request's attempts, from 0
  std::vector<float> load_report;  ///< by Settings::report_columns; empty: none came
};

/// The client of a request has left; no answer is needed any more.
struct ClientDisconnected {
  RequestId id = 0;  ///< request of that client
};

/// A timer that a StartTimer action asked for has expired.
struct TimerFired {
  std::uint32_t timer_id = 0;  ///< StartTimer::timer_id
};

/// A health check has ended, or a load report has come without an attempt.
struct HealthResult {
  EndpointId endpoint = 0;         ///< that was checked, or that the load report is of
  Outcome outcome = Outcome::ok;   ///< Outcome::ok: healthy; any other counts as a failure of the endpoint
  Micros elapsed{};                ///< since the health check was sent
  std::vector<float> load_report;  ///< by Settings::report_columns; empty: none came
};

/// A message of another router.
struct PeerMessage {
  std::uint16_t from = 0;  ///< number of the sending router
  std::string payload;     ///< as in SendPeerMessage
};

/// Another router has noticed that an endpoint's KV cache was lost.
struct CacheInvalidated {
  EndpointId endpoint = 0;  ///< whose cached prefixes are gone
};

/// Any one event.
using Event =
    std::variant<EndpointListUpdate, Request, FirstTokenReceived, ReservationUpdate, AttemptCompleted,
                 ClientDisconnected, TimerFired, HealthResult, PeerMessage, CacheInvalidated>;

}  // namespace lemonroute
