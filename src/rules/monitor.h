// Watches the rules from the outside: told of what happens at the edges of a router (the list, clients,
// sends, answers, held state), it says which rule broke, when and for which request. It does no I/O, reads no
// clock and knows neither the core nor the module, so that tests, expectations and emulators can all lean on
// it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"
#include "rules/turns.h"

namespace lemonroute::rules {

enum class Rule : int {
  answer = 1,    // each request taken gets exactly one final answer, before its client gives up
  attempts = 2,  // never two attempts out at once, at most so many, none after the answer
  drain = 3,     // no new work to a node after the grace that follows its drain, its going or its ban
  cold = 4,      // a cold node is not sent more than its budget
  held = 5,      // with no attempt out, held state is taken by a send or freed in time
  pool = 6,      // at most one region sends to a pool at a time
};
const char* title(Rule rule);

struct Breach {
  Rule rule = Rule::answer;
  Micros at{};  // on the clock that the monitor is told
  std::string request, node, what;
  std::string text(Micros zero = Micros(0)) const;  // one line; times count from `zero`
};

struct Limits {
  Micros drain_grace = std::chrono::milliseconds(500);
  Micros held = std::chrono::seconds(1);
  Micros told_late{};     // how long the router may take to learn that a client has gone
  Micros answer_slack{};  // how late after the deadline an answer still counts as in time
  Micros cold_for{}, cold_window{};
  double cold_from = 1, cold_multiple = 1;
  std::uint32_t siblings = 1;                  // routers that share a cold node's budget, 1 or more
  std::uint32_t most_attempts = 6;             // of a request, unless it is taken with fewer
  bool second_copies = false;                  // two attempts out at once are allowed
  Micros published = std::chrono::seconds(2);  // how late it may be told who owns a pool
};

// What the class of a request allows once an attempt of it may have run.
struct Terms {
  Idempotency effect = Idempotency::idempotent;
  RetryScope group = RetryScope::all;  // of keyed ones: the nodes that discard a repeat,
  Micros window{};                     // for so long from the sending of that attempt on
};

// Times never go back between calls; a call with an earlier one counts as at the latest.
class Monitor {
 public:
  explicit Monitor(Limits limits) : limits_(limits) {}
  void limit(Limits limits) { limits_ = limits; }  // from now on
  const Limits& limits() const { return limits_; }

  // ---- the nodes, as the router was told ----
  // `capacity`: prompt tokens a second once warm; 0: unknown, no budget is watched. A new `started` is a new
  // process.
  void listed(Micros now, const std::string& node, EndpointState phase, Micros started, double capacity = 0);
  // Where it stands. Reading has no effect, so what a node does that serves nobody is no repeat.
  void placed(const std::string& node, const std::string& zone, std::uint16_t cell, bool serves);
  void banned(Micros now, const std::string& node);  // from the yes to the operator on
  void unbanned(Micros now, const std::string& node);

  // ---- pools, as their nodes are grouped and as routers say who owns them ----
  void pooled(const std::string& node, const std::string& pool) { turns_.belongs(node, pool); }
  void owns(Micros now, const std::string& pool, const std::string& region, std::uint64_t epoch) {
    move(now);
    turns_.owns(pool, region, epoch);
  }

  // ---- a request ----
  void taken(Micros now, const std::string& request, Micros deadline, std::uint32_t most_attempts,
             Terms terms = {});
  // `region`: of the router that sends, where pools are watched.
  void sent(Micros now, const std::string& request, const std::string& node, double tokens,
            const std::string& region = {});
  // Its attempt there, however it ended. `ran`: unless that proves that it has not run.
  void over(Micros now, const std::string& request, const std::string& node, bool ran = true);
  void first(Micros now, const std::string& request);  // the client got the first event: the deadline stops
  void answered(Micros now, const std::string& request, const std::string& how);
  void refused(Micros now, const std::string& request);  // the answer that says that trying again is harmless
  void left(Micros now, const std::string& request);     // the client has gone: no answer is owed

  // ---- read state at nodes ----
  void held(Micros now, const std::string& request, const std::string& node);
  void freed(Micros now, const std::string& request, const std::string& node);

  void advance(Micros now);  // notices what breaks by time alone
  // Nothing more will happen: every request must have had its answer, and nothing may be held.
  void finish(Micros now);

  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t open() const;  // requests that are owed an answer

 private:
  struct Node {
    EndpointState phase = EndpointState::ready;
    Micros started{};
    double capacity = 0;
    std::optional<Micros> off, banned;  // since when it must not get new work
    std::deque<std::pair<Micros, double>> sent;
    std::string zone;
    std::uint16_t cell = 0;
    bool serves = true;
  };
  struct Ran {  // the first attempt that may have run
    Micros sent{};
    std::string node, zone;
    std::uint16_t cell = 0;
  };
  struct Watched {
    Micros deadline{};
    std::uint32_t most_attempts = 1, attempts = 0;
    std::multiset<std::string> out;
    Terms terms;
    Micros last_sent{};
    std::optional<Ran> ran;
    std::map<std::string, Micros> holders;  // since when the state waits there with no attempt out
    int answers = 0;
    bool started = false, left = false, late = false;
    Micros left_at{};
    std::set<std::string> told_held;
  };
  void breach(Rule rule, Micros at, const std::string& request, const std::string& node, std::string what);
  void repeated(Micros now, const std::string& request, const std::string& name, const Watched& one);
  void cold(Micros now, const std::string& request, const std::string& name, Node& node, double tokens);
  void judge_turns(Micros up_to);
  Micros move(Micros now) { return now_ = std::max(now_, now); }

  Limits limits_;
  Micros now_{};
  std::map<std::string, Node> nodes_;
  std::map<std::string, Watched> requests_;
  std::set<std::string> live_;  // of them, those for which time alone can break a rule
  Turns turns_;
  std::vector<Breach> breaches_;
};

}  // namespace lemonroute::rules
