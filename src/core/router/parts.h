// What the core's files share: one request, its attempt under way, and a state that is being let go. Private
// to core.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/router.h"

namespace lemonroute {

// One attempt of a request, on its way.
struct Router::AttemptState : AttemptHandler {
  AttemptState(Router& owner, RequestId of, std::uint16_t number, const Node& at, Role role, Micros now)
      : router(owner),
        request(of),
        number(number),
        endpoint(at.id),
        node(at.name),
        process_started_at(at.listed_start),
        role(role),
        sent_at(now) {}
  ~AttemptState() override {
    if (start_deadline_timer)
      router.timers_.cancel(*start_deadline_timer);
    if (reservation_timer)
      router.timers_.cancel(*reservation_timer);
  }
  void on_request_written() override { ++router.sent_attempts_; }
  void on_data(std::string_view data) override { router.on_attempt_data(*this, data); }
  void on_done(AttemptResult result) override { router.on_attempt_done(*this, std::move(result)); }

  Router& router;
  RequestId request;
  std::uint16_t number;
  EndpointId endpoint;
  std::string node;
  Micros process_started_at;  // the start that the list stated of the node's process
  Role role;
  Micros sent_at;
  bool streaming = false;
  bool release_ordered = false;  // a release of what it may leave was ordered as it was closed
  std::unique_ptr<Call> call;
  Timers::Id timer;  // its time-out, and once it streams the watch for silence
  std::optional<Timers::Id>
      start_deadline_timer;  // until then it has to have begun, or it does not begin any more
  std::optional<Timers::Id>
      reservation_timer;  // until then it has to have taken the state, or that is let go of
  // Certainly no node has heard of it, and none will once it is let go of.
  bool not_sent() const { return call && call->not_sent(); }
};

// A node that holds the state of a request, or may hold it.
struct Router::ReservationHolder {
  EndpointId endpoint = 0;
  Micros process_started_at{};  // the start that the list stated of the node's process
  Micros since{};               // when its attempt ended here
  bool prefill_may_complete =
      false;  // the read was cut without an answer: it may still end well, if its node hangs
};

struct Router::RequestState {
  RequestId id = 0;
  Prompt prompt;
  Client* client = nullptr;  // null once answered or gone
  Micros deadline{};
  std::uint16_t attempt_count = 0;
  std::uint32_t max_attempts = 1;
  std::string request_class;
  Key session_key = 0, shared_prefix_key = 0;
  double prompt_tokens = 0, shared_prefix_tokens = 0;  // of its prompt
  std::shared_ptr<RequestCounts> counts;               // of the class that it was taken with
  bool not_idempotent = false;                         // its class must never run twice,
  bool may_have_run = false;                           // and an attempt that would have answered may have run
  Micros retry_window = Micros::max();    // how long after its sending the class may be repeated,
  Micros retry_deadline = Micros::max();  // and, once one may have run, until when
  std::unique_ptr<AttemptState> attempt;  // at most one
  ReservationHolder reservation;          // the node of the last read that ended well,
  bool has_reservation = false;           // and whether it holds the state
  // Since when a state is or may be there with no attempt out that is known to have arrived at its node.
  std::optional<Micros> reservation_idle_since;
  // Nodes where a read was cut. It may have ended well in that very moment and hold a state that nobody
  // told of, so they are asked to let go as soon as no attempt is out.
  std::vector<ReservationHolder> orphaned_reservations;
  bool adopted = false;  // begun by another process
};

// A call to let a state go that is under way.
struct Router::ReleaseCall {
  std::uint64_t number = 0;
  EndpointId endpoint = 0;
  Micros sent_at{};
  bool during_attempt = false;  // one was out when it began
  std::unique_ptr<Call> call;
};

// A state that is to be let go. Done once any node has taken the call and each holder whose read was cut
// without an answer has taken it itself, or has been started anew.
struct Router::PendingRelease {
  RequestId request = 0;
  std::string id;
  std::vector<ReservationHolder> holders;                // never empty while it is pending
  Micros since{}, expires_at{};                          // when it was ordered, and when it is given up
  Micros due_at{};                                       // by when a call has to have arrived
  std::size_t tries = 0;                                 // calls made
  std::map<EndpointId, std::size_t> calls_by_endpoint;   // how many of them to whom
  bool arrived = false;                                  // a node has taken the call with no attempt out
  std::optional<std::uint16_t> notified_during_attempt;  // the attempt that was out when a node took it last
  std::vector<ReleaseCall> calls;                        // the oldest first, at most three
  Timers::Id timer;                                      // of the next try
};

}  // namespace lemonroute
