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
struct Router::AttemptState : Attempt {
  AttemptState(Router& owner, RequestId of, std::uint16_t number, const Node& at, Role role, Micros now)
      : router(owner),
        request(of),
        number(number),
        host(at.id),
        node(at.name),
        process(at.listed_start),
        role(role),
        sent(now) {}
  ~AttemptState() override {
    if (begin_timer)
      router.timers_.drop(*begin_timer);
    if (state_timer)
      router.timers_.drop(*state_timer);
  }
  void written() override { ++router.sends_; }
  void event(std::string_view data) override { router.event(*this, data); }
  void done(Result result) override { router.done(*this, std::move(result)); }

  Router& router;
  RequestId request;
  std::uint16_t number;
  HostId host;
  std::string node;
  Micros process;  // the start that the list stated of the node's process
  Role role;
  Micros sent;
  bool started = false;
  bool let_go = false;  // a release of what it may leave was ordered as it was closed
  std::unique_ptr<Call> call;
  Timers::Id timer;                       // its time-out, and once it streams the watch for silence
  std::optional<Timers::Id> begin_timer;  // until then it has to have begun, or it does not begin any more
  std::optional<Timers::Id> state_timer;  // until then it has to have taken the state, or that is let go of
  // Certainly no node has heard of it, and none will once it is let go of.
  bool unsent() const { return call && call->unsent(); }
};

// A node that holds the state of a request, or may hold it.
struct Router::StateHolder {
  HostId host = 0;
  Micros process{};         // the start that the list stated of the node's process
  Micros since{};           // when its attempt ended here
  bool unfinished = false;  // the read was cut without an answer: it may still end well, if its node hangs
};

struct Router::RequestState {
  RequestId id = 0;
  Prompt prompt;
  Client* client = nullptr;  // null once answered or gone
  Micros deadline{};
  std::uint16_t attempts = 0;
  std::uint32_t most_attempts = 1;
  std::string kind;
  Key session = 0, shared = 0;
  double tokens = 0, shared_tokens = 0;  // of its prompt
  std::shared_ptr<Counts> counts;        // of the class that it was taken with
  bool once = false;                     // its class must never run twice,
  bool ran = false;                      // and an attempt that would have answered may have run
  Micros repeats_for = Micros::max();    // how long after its sending the class may be repeated,
  Micros repeats_until = Micros::max();  // and, once one may have run, until when
  std::unique_ptr<AttemptState> out;     // at most one
  StateHolder held;                      // the node of the last read that ended well,
  bool holds = false;                    // and whether it holds the state
  // Since when a state is or may be there with no attempt out that is known to have arrived at its node.
  std::optional<Micros> state_waits;
  // Nodes where a read was cut. It may have ended well in that very moment and hold a state that nobody
  // told of, so they are asked to let go as soon as no attempt is out.
  std::vector<StateHolder> leftovers;
  bool adopted = false;  // begun by another process
};

// A call to let a state go that is under way.
struct Router::ReleaseCall {
  std::uint64_t number = 0;
  HostId host = 0;
  Micros at{};
  bool during_attempt = false;  // one was out when it began
  std::unique_ptr<Call> call;
};

// A state that is to be let go. Done once any node has taken the call and each holder whose read was cut
// without an answer has taken it itself, or has been started anew.
struct Router::PendingRelease {
  RequestId request = 0;
  std::string id;
  std::vector<StateHolder> holders;          // never empty while it is pending
  Micros since{}, until{};                   // when it was ordered, and when it is given up
  Micros due{};                              // by when a call has to have arrived
  std::size_t tries = 0;                     // calls made
  std::map<HostId, std::size_t> asked;       // how many of them to whom
  bool arrived = false;                      // a node has taken the call with no attempt out
  std::optional<std::uint16_t> told_during;  // the attempt that was out when a node took it last
  std::vector<ReleaseCall> open;             // the oldest first, at most three
  Timers::Id timer;                          // of the next try
};

}  // namespace lemonroute
