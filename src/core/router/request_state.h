/// \file
/// One open request, its attempt in progress, and the KV caches that prefill nodes hold for it. Private to
/// src/core and used on the serving thread only. All times are on the core's clock.
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

/// Value of AttemptResult::cached_tokens with Outcome::rejected_over_capacity if the node has found no KV
/// cache to decode from.
inline constexpr std::uint32_t no_reservation_at_node = 1;

/// Receives the events of the attempts in progress. AttemptRunner implements it.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  /// Called when the kernel has accepted the last byte of a request.
  virtual void on_request_written() = 0;
  /// Called when a part of the answer's stream has arrived that may end no event.
  virtual void on_attempt_progress(AttemptState& attempt) = 0;
  /// Called with each event of the answer's stream.
  virtual void on_attempt_data(AttemptState& attempt, std::string_view data) = 0;
  /// Called when the attempt has ended; `attempt` is destroyed before this returns.
  virtual void on_attempt_done(AttemptState& attempt, AttemptResult result) = 0;
};

/// One attempt in progress. Its request owns it. Destroying it cancels its timers and closes its call.
struct AttemptState : AttemptHandler {
  /// Creates an attempt without a call.
  /// \param listener receives the events of the attempt and must outlive it.
  /// \param request the request that owns the attempt.
  /// \param number the attempt's number within its request, from 0.
  /// \param node the node of the attempt; not kept.
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
        location(node.location()),
        role(role),
        sent_at(now) {}

  /// Forwards the event to the listener.
  void on_request_written() override { listener.on_request_written(); }
  /// Forwards the event to the listener.
  void on_progress() override { listener.on_attempt_progress(*this); }
  /// Forwards the event to the listener.
  void on_data(std::string_view data) override { listener.on_attempt_data(*this, data); }
  /// Forwards the result to the listener. The attempt is destroyed before this returns.
  void on_done(AttemptResult result) override { listener.on_attempt_done(*this, std::move(result)); }

  /// Returns whether it is certain that no part of this attempt has been sent, and that none will be sent
  /// once its call is destroyed.
  [[nodiscard]] bool not_sent() const { return call && call->not_sent(); }

  AttemptListener& listener;     ///< receives the events of the attempt
  RequestId request;             ///< the request that owns the attempt
  std::uint16_t number;          ///< the attempt's number within its request, from 0
  EndpointId endpoint;           ///< the node of the attempt
  std::string node;              ///< a copy of the node's name, valid also after the node has left the list
  Micros process_started_at;     ///< the start of the node's process, as listed when the attempt was sent
  NodeLocation location;         ///< the node's zone and cell when the attempt was sent
  Role role;                     ///< the node's role when the attempt was sent
  Micros sent_at;                ///< when the attempt was started
  bool streaming = false;        ///< the first event of the answer has arrived
  Micros last_data_at{};         ///< when data of the stream arrived last
  bool reading_paused = false;   ///< nothing is read from the node until the client has taken more
  bool release_ordered = false;  ///< what the prefill may leave is being released, since its call was closed
  std::unique_ptr<Call> call;    ///< the call to the node; null until it is made
  ScopedTimer timer;             ///< the attempt's timeout or, while streaming, the stream's idle timeout
  ScopedTimer start_deadline_timer;  ///< withdraws the attempt if it has not been sent by then
  ScopedTimer reservation_timer;     ///< releases the reservation if the attempt is not streaming by then
};

/// A node that holds or may hold a request's KV cache.
struct ReservationHolder {
  EndpointId endpoint = 0;      ///< the node
  Micros process_started_at{};  ///< the start of the node's process, as listed when the prefill was sent
  Micros since{};               ///< when the prefill ended for this router
  bool prefill_may_complete = false;  ///< the prefill was interrupted without an answer; a hanging node may
                                      ///< still complete it
};

/// One open request. RequestTable owns it.
struct RequestState {
  RequestId id = 0;                 ///< the id of the request within this router
  Prompt prompt;                    ///< the content that each attempt sends
  Client* client = nullptr;         ///< null once the request is answered or its client has disconnected
  Micros deadline{};                ///< the time until which the client waits for the first event
  std::uint16_t attempt_count = 0;  ///< number of attempts that the Scheduler has requested, sent or not
  std::uint32_t max_attempts = 1;   ///< the limit of attempts, fixed when the request was accepted
  std::string request_class;        ///< name of the class that the request was accepted with
  Key session_key = 0;              ///< key of the session; 0: none
  Key shared_prefix_key = 0;        ///< key of the prefix that the prompt shares with others; 0: none
  double prompt_tokens = 0;         ///< length of the prompt, in tokens
  double shared_prefix_tokens = 0;  ///< length of the shared prefix, in tokens
  std::shared_ptr<RequestCounts> counts;     ///< counters of the class that the request was accepted with
  bool not_idempotent = false;               ///< requests of the class must not be executed twice
  bool may_have_run = false;                 ///< an attempt that could have answered may have been executed
  Micros retry_window = Micros::max();       ///< how long after the sending of an attempt it may be repeated
  Micros retry_deadline = Micros::max();     ///< end of the retry window; max() until an attempt may have run
  RetryScope retry_scope = RetryScope::all;  ///< which nodes may repeat an attempt that may have run
  EndpointId first_run_endpoint = 0;         ///< the node of the first attempt that may have run; 0: none
  std::optional<NodeLocation>
      first_run_location;                 ///< where that node was; none until an attempt may have run
  std::unique_ptr<AttemptState> attempt;  ///< the attempt in progress, or null
  ReservationHolder reservation;          ///< the node of the last completed prefill
  bool has_reservation = false;           ///< whether that node holds the KV cache
  /// The time since which a KV cache is or may be held without an attempt in progress that is known to have
  /// arrived at its node.
  std::optional<Micros> reservation_idle_since;
  /// Nodes at which a prefill was interrupted. It may have completed at the same moment without this router's
  /// knowledge, so these nodes are asked to release it as soon as no attempt is in progress.
  std::vector<ReservationHolder> orphaned_reservations;
  std::optional<Micros> call_closed_at;  ///< when the router last closed the call of a sent attempt
  bool adopted = false;                  ///< another process of this router started the stream

  /// Returns whether the answer of the attempt in progress has started.
  [[nodiscard]] bool is_streaming() const { return attempt && attempt->streaming; }
  /// Returns whether an attempt was sent whose answer has not started and whose call is open.
  [[nodiscard]] bool awaits_result() const {
    return attempt && attempt->call && !attempt->streaming && !attempt->not_sent();
  }
  /// Returns whether the request waits for the result of a prefill: no node holds the KV cache yet.
  [[nodiscard]] bool awaits_prefill_result() const { return !has_reservation && awaits_result(); }
  /// Returns whether the request waits for the first event of a decode: a node holds the KV cache.
  [[nodiscard]] bool awaits_decode_result() const { return has_reservation && awaits_result(); }
  /// Removes `endpoint` from the nodes that may hold the KV cache of an interrupted prefill.
  void forget_orphaned_reservation(EndpointId endpoint) {
    std::erase_if(orphaned_reservations, [&](const auto& holder) { return holder.endpoint == endpoint; });
  }
};

}  // namespace lemonroute
