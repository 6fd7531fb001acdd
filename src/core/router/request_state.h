/// \file
/// One open request, the attempt that is under way for it, and the KV caches that prefill nodes hold for it.
/// Private to src/core and used on the serving thread only. All times are on the core's clock.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/request_metrics.h"
#include "core/router/scoped_timer.h"
#include "core/types.h"

namespace lemonroute {

struct AttemptState;

/// Value of AttemptResult::cached_tokens that comes with Outcome::rejected_over_capacity where the node has
/// found no KV cache to decode from.
inline constexpr std::uint32_t no_reservation_at_node = 1;

/// Hears of the attempts under way. AttemptRunner implements it.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  /// The kernel has accepted the last byte of the request.
  virtual void on_request_written() = 0;
  /// One event of the answer's stream has arrived.
  virtual void on_attempt_data(AttemptState& attempt, std::string_view data) = 0;
  /// The attempt has ended; `attempt` is destroyed before this returns.
  virtual void on_attempt_done(AttemptState& attempt, AttemptResult result) = 0;
};

/// One attempt that is under way. Its request owns it. Destroying it cancels its timers and closes its call.
struct AttemptState : AttemptHandler {
  /// Prepares an attempt whose call is not made yet.
  /// \param listener hears of the attempt and outlives it.
  /// \param request the request that owns the attempt.
  /// \param number the attempt's number within its request, from 0.
  /// \param node the node that the attempt goes to; only read here.
  /// \param role the node's role.
  /// \param now the present time.
  AttemptState(AttemptListener& listener, RequestId request, std::uint16_t number, const Node& node,
               Role role, Micros now)
      : listener(listener),
        request(request),
        number(number),
        endpoint(node.id),
        node(node.name),
        process_started_at(node.listed_start),
        role(role),
        sent_at(now) {}

  /// Passes this on to the listener, as do on_data and on_done.
  void on_request_written() override { listener.on_request_written(); }
  /// Passes the event on.
  void on_data(std::string_view data) override { listener.on_attempt_data(*this, data); }
  /// Passes the result on. The attempt is destroyed before this returns.
  void on_done(AttemptResult result) override { listener.on_attempt_done(*this, std::move(result)); }

  /// Returns whether it is certain that no node has heard of this attempt, and that none will once its call
  /// is destroyed.
  [[nodiscard]] bool not_sent() const { return call && call->not_sent(); }

  AttemptListener& listener;     ///< hears of the attempt
  RequestId request;             ///< the request that owns the attempt
  std::uint16_t number;          ///< among the attempts of its request, from 0
  EndpointId endpoint;           ///< the node that the attempt goes to
  std::string node;              ///< the endpoint's name, which outlives the endpoint's place in the list
  Micros process_started_at;     ///< the start of the node's process that the endpoint list stated
  Role role;                     ///< the node's role when the attempt was sent
  Micros sent_at;                ///< when the attempt was started
  bool streaming = false;        ///< the first event of the answer has arrived
  bool release_ordered = false;  ///< a release of what the prefill may leave was ordered as its call closed
  std::unique_ptr<Call> call;    ///< the call to the node; null until it is made
  ScopedTimer timer;             ///< the attempt's timeout; once it streams, the stream's idle timeout
  ScopedTimer start_deadline_timer;  ///< takes the attempt back if it has not been sent by then
  ScopedTimer reservation_timer;     ///< releases the reservation if the attempt has not taken it by then
};

/// A node that holds, or may hold, the KV cache of a request.
struct ReservationHolder {
  EndpointId endpoint = 0;            ///< the node
  Micros process_started_at{};        ///< the start of the node's process that the endpoint list stated
  Micros since{};                     ///< when this router saw the prefill end
  bool prefill_may_complete = false;  ///< the prefill was cut without an answer: a node that hangs may still
                                      ///< complete it later
};

/// One open request. RequestTable owns it.
struct RequestState {
  RequestId id = 0;                 ///< the number of the request within this router
  Prompt prompt;                    ///< what each attempt sends
  Client* client = nullptr;         ///< null once the request is answered or the client has disconnected
  Micros deadline{};                ///< the client gives up on the first event then
  std::uint16_t attempt_count = 0;  ///< attempts that the Scheduler has asked for, sent or not
  std::uint32_t max_attempts = 1;   ///< the limit of attempts when the request was accepted
  std::string request_class;        ///< name of the class that the request was accepted with
  Key session_key = 0;              ///< key of the session; 0: none
  Key shared_prefix_key = 0;        ///< key of the prefix that the prompt shares with others; 0: none
  double prompt_tokens = 0;         ///< length of the prompt
  double shared_prefix_tokens = 0;  ///< length of the shared prefix
  std::shared_ptr<RequestCounts> counts;  ///< of the class that the request was accepted with
  bool not_idempotent = false;            ///< the class must not run twice
  bool may_have_run = false;              ///< an attempt that would have answered may have run
  Micros retry_window = Micros::max();    ///< how long after its sending an attempt may be repeated
  Micros retry_deadline = Micros::max();  ///< until when it may be, once an attempt may have run
  std::unique_ptr<AttemptState> attempt;  ///< the one attempt under way, or null
  ReservationHolder reservation;          ///< the node of the last prefill that completed
  bool has_reservation = false;           ///< that node holds the KV cache
  /// Since when a KV cache is or may be held with no attempt under way that is known to have arrived.
  std::optional<Micros> reservation_idle_since;
  /// Nodes at which a prefill was cut. It may have completed at that very moment, unknown to this router, so
  /// these nodes are asked to release as soon as no attempt is under way.
  std::vector<ReservationHolder> orphaned_reservations;
  bool adopted = false;  ///< another process of this router began the stream

  /// Returns whether the attempt under way has begun to answer.
  [[nodiscard]] bool is_streaming() const { return attempt && attempt->streaming; }
  /// Returns whether an attempt was sent that has neither begun to answer nor been closed.
  [[nodiscard]] bool awaits_result() const {
    return attempt && attempt->call && !attempt->streaming && !attempt->not_sent();
  }
  /// Returns whether the result of a prefill is awaited: no node holds the KV cache yet.
  [[nodiscard]] bool awaits_prefill_result() const { return !has_reservation && awaits_result(); }
  /// Returns whether the first event of a decode is awaited: a node holds the KV cache.
  [[nodiscard]] bool awaits_decode_result() const { return has_reservation && awaits_result(); }
  /// Forgets that `endpoint` may hold what a cut prefill has left.
  void forget_orphaned_reservation(EndpointId endpoint) {
    std::erase_if(orphaned_reservations, [&](const auto& one) { return one.endpoint == endpoint; });
  }
};

}  // namespace lemonroute
